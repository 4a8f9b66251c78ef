package digest

import (
	"bytes"
	"math/rand/v2"
	"testing"
)

type request struct {
	method, host, uri, caller, body string
}

func (r request) digest() Digest {
	return HeadOf(r.method, r.host, r.uri, r.caller).Sum([]byte(r.body))
}

func TestDigestDependsOnEveryPart(t *testing.T) {
	base := request{"POST", "one.example", "/p/a?q=1", "Bearer x", "body"}
	seen := map[Digest]string{base.digest(): "base"}
	for name, r := range map[string]request{
		"method":      {"PUT", "one.example", "/p/a?q=1", "Bearer x", "body"},
		"host":        {"POST", "two.example", "/p/a?q=1", "Bearer x", "body"},
		"path":        {"POST", "one.example", "/p/b?q=1", "Bearer x", "body"},
		"query":       {"POST", "one.example", "/p/a?q=2", "Bearer x", "body"},
		"no query":    {"POST", "one.example", "/p/a", "Bearer x", "body"},
		"caller":      {"POST", "one.example", "/p/a?q=1", "Bearer y", "body"},
		"body":        {"POST", "one.example", "/p/a?q=1", "Bearer x", "bodx"},
		"longer body": {"POST", "one.example", "/p/a?q=1", "Bearer x", "body "},
		"no body":     {"POST", "one.example", "/p/a?q=1", "Bearer x", ""},
		"byte moved":  {"POST", "one.example/p", "/a?q=1", "Bearer x", "body"},
	} {
		if other, ok := seen[r.digest()]; ok {
			t.Errorf("%s: same digest as %s", name, other)
		}
		seen[r.digest()] = name
	}
	same := request{"POST", "ONE.example", "/p/a?q=1", "Bearer x", "body"}
	if same.digest() != base.digest() {
		t.Error("digest depends on the case of the host")
	}
}

func TestDigestIndependentOfWriteSizes(t *testing.T) {
	head := HeadOf("POST", "one.example", "/p/")
	random := rand.New(rand.NewPCG(1, 1))
	for _, length := range []int{0, 1, PrefixBytes - 1, PrefixBytes, 3*PrefixBytes + 7} {
		body := make([]byte, length)
		for i := range body {
			body[i] = byte(random.Uint32())
		}
		streamed := head.NewHasher()
		for rest := body; len(rest) > 0; {
			n := 1 + random.IntN(len(rest))
			_, _ = streamed.Write(rest[:n])
			rest = rest[n:]
		}
		if streamed.Sum() != head.Sum(body) {
			t.Errorf("%d bytes: streamed digest differs from Head.Sum", length)
		}
		prefix, ok := streamed.PrefixSum()
		if ok != (length >= PrefixBytes) {
			t.Errorf("%d bytes: PrefixSum returned ok = %v", length, ok)
		}
		if ok && prefix == head.Sum(body[:PrefixBytes]) {
			t.Errorf("%d bytes: digest of a prefix equals that of a complete body", length)
		}
	}
}

func TestDigestIgnoresBodyBeyondLimit(t *testing.T) {
	head := HeadOf("POST", "one.example", "/p/")
	long := bytes.Repeat([]byte("x"), MaxBodyBytes+1)
	streamed := head.NewHasher()
	_, _ = streamed.Write(long)
	if head.Sum(long) != head.Sum(long[:MaxBodyBytes]) || streamed.Sum() != head.Sum(long) {
		t.Error("digest depends on bytes beyond MaxBodyBytes")
	}
}

func TestParse(t *testing.T) {
	d := HeadOf("GET", "h", "/").Sum(nil)
	if got, err := Parse(d.String()); err != nil || got != d {
		t.Errorf("got %v, %v", got, err)
	}
	for _, bad := range []string{"", "00", d.String() + "00", "zz" + d.String()[2:]} {
		if _, err := Parse(bad); err == nil {
			t.Errorf("Parse(%q) succeeded", bad)
		}
	}
}

func BenchmarkSmallRequest(b *testing.B) {
	body := make([]byte, 1000)
	for b.Loop() {
		HeadOf("POST", "one.example", "/p/a?q=1", "").Sum(body)
	}
}
