package targetconn

import (
	"net/http"
	"net/textproto"
	"testing"
)

func TestInterimResponsesAreLimitedInAll(t *testing.T) {
	const limit, value = 1000, "0123456789"
	c := &interimCheck{bytesLeft: limit}
	n := 0
	for c.check(http.StatusEarlyHints, textproto.MIMEHeader{"Link": {value, value}}) == nil {
		if n++; n > limit {
			t.Fatal("there is no limit")
		}
	}
	if least := limit / 100; n < least {
		t.Errorf("only %d interim responses are allowed, want %d", n, least)
	}
}
