package forward

import (
	"testing"
	"time"
)

func TestParseRetryAfter(t *testing.T) {
	now := time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)
	for value, want := range map[string]time.Duration{
		"":                              0,
		"0":                             0,
		"3":                             3 * time.Second,
		"0.5":                           500 * time.Millisecond,
		"007":                           7 * time.Second,
		"-5":                            0,
		"+5":                            0,
		"1e3":                           0,
		"0x10":                          0,
		"NaN":                           0,
		"Inf":                           0,
		".5":                            0,
		"1.2.3":                         0,
		"1,5":                           0,
		"soon":                          0,
		"86401":                         maxRetryAfter,
		"99999999999999999999999":       maxRetryAfter,
		"Thu, 03 Dec 2026 08:00:30 GMT": 30 * time.Second,
		"Thu, 03 Dec 2026 07:00:00 GMT": 0,
		"Fri, 31 Dec 2099 23:59:59 GMT": maxRetryAfter,
	} {
		if got := parseRetryAfter(value, now); got != want {
			t.Errorf("%q: %v, want %v", value, got, want)
		}
	}
}
