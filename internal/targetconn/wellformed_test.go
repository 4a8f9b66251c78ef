package targetconn

import (
	"errors"
	"net/http"
	"net/textproto"
	"testing"
)

// The verdict must not depend on how the bytes of a head are split into reads.
func TestFramingIsCheckedAcrossReads(t *testing.T) {
	for head, faulty := range map[string]bool{
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n":            true,
		"HTTP/1.0 200 OK\r\nA: b\r\ntransfer-encoding:chunked\r\n\r\n":     true,
		"HTTP/1.0 200 OK\nTransfer-Encoding: chunked\n\n":                  true,
		"HTTP/1.0 200 OK\r\nTransfer-Encoding:\r\n\r\n":                    true,
		"HTTP/1.0 200 OK\r\n\r\nTransfer-Encoding: chunked\r\n\r\n":        false,
		"HTTP/1.0 200 OK\n\nTransfer-Encoding: chunked\n\n":                false,
		"HTTP/1.0 200 OK\r\nA: Transfer-Encoding: chunked\r\n\r\n":         false,
		"HTTP/1.0 200 OK\r\nX-Transfer-Encoding: chunked\r\n\r\n":          false,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n":            false,
		"HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\nTransfer-Encoding:\n": false,
		"HTTP\r\n": false,
		"":         false,
	} {
		for first := range len(head) + 1 {
			for second := first; second <= len(head); second++ {
				var f framingCheck
				err := errors.Join(f.add([]byte(head[:first])), f.add([]byte(head[first:second])), f.add([]byte(head[second:])))
				var malformed *MalformedError
				if errors.As(err, &malformed) != faulty {
					t.Fatalf("%q, split at %d and %d: %v", head, first, second, err)
				}
			}
		}
	}
}

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
