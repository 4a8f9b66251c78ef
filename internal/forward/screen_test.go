package forward

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"masticturn/internal/digest"
	"masticturn/internal/edge"
	"masticturn/internal/quarantine"
	"masticturn/internal/telemetry"
)

// fakeScreener is a quarantine.Screener that rejects the digests in held.
type fakeScreener struct {
	mu            sync.Mutex
	held          map[digest.Digest]bool
	heads         map[digest.Digest]bool
	barAfterCrash bool // Barred rejects all requests after the first crash
	crashed       []quarantine.RequestDigests
	answered      []quarantine.RequestDigests
}

func (f *fakeScreener) Active() bool                       { return true }
func (f *fakeScreener) Has(quarantine.RequestDigests) bool { return true }
func (f *fakeScreener) HasHead(h digest.Digest) bool       { return f.heads[h] }

func (f *fakeScreener) Admit(_ context.Context, s quarantine.RequestDigests) (*quarantine.Lease, *quarantine.Refusal) {
	if f.held[s.Whole] {
		return nil, &quarantine.Refusal{Digest: s.Whole, Assessment: quarantine.Assessment{Verdict: quarantine.Quarantined}}
	}
	return nil, nil
}

func (f *fakeScreener) Recheck(s quarantine.RequestDigests) *quarantine.Refusal {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.barAfterCrash && len(f.crashed) > 0 {
		return &quarantine.Refusal{Digest: s.Whole, Assessment: quarantine.Assessment{Verdict: quarantine.Quarantined}}
	}
	return nil
}

func (f *fakeScreener) Crashed(s quarantine.RequestDigests, _ string, _, _ time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashed = append(f.crashed, s)
}

func (f *fakeScreener) Answered(s quarantine.RequestDigests) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answered = append(f.answered, s)
}

// newQuarantineProxy returns a proxy with the given quarantine.Screener.
func newQuarantineProxy(t *testing.T, s *fakeScreener, targets ...string) *testProxy {
	t.Helper()
	b := newTestProxy(t, testDocument(targets...), nil, telemetry.Discard())
	b.handler.deps.Screen = s
	b.handler.crashProber.deps.Screen = s
	return b
}

// headOf returns the head digest of a request sent by the proxy's client.
func (b *testProxy) headOf(method, uri string) digest.Head {
	return digest.HeadOf(method, strings.TrimPrefix(b.URL, "http://"), uri, "", "")
}

// chunkedBody hides the length of a body, so that it is sent with chunked encoding.
type chunkedBody struct{ io.Reader }

func TestQuarantineDistinguishesBodies(t *testing.T) {
	var got atomic.Pointer[string]
	target := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		raw, _ := io.ReadAll(r.Body)
		text := string(raw)
		got.Store(&text)
		_, _ = io.WriteString(w, "ok")
	})
	s := &fakeScreener{}
	b := newQuarantineProxy(t, s, target)
	head := b.headOf("POST", "/svc/a?q=1")
	s.heads = map[digest.Digest]bool{head.Key(): true}
	s.held = make(map[digest.Digest]bool)
	for _, length := range []int{10, 200_000, 3 << 20} {
		bad, good := strings.Repeat("x", length), strings.Repeat("x", length-1)+"y"
		s.held[head.Sum([]byte(bad))] = true
		for name, body := range map[string]func(string) io.Reader{
			"with a length": func(text string) io.Reader { return strings.NewReader(text) },
			"in chunks":     func(text string) io.Reader { return chunkedBody{strings.NewReader(text)} },
		} {
			got.Store(nil)
			resp, text, err := b.call(t, "POST", "/svc/a?q=1", body(bad))
			if err != nil || resp.StatusCode != http.StatusBadRequest || resp.Header.Get("Retry-After") != "" || !strings.Contains(text, "quarantine") {
				t.Errorf("%d bytes %s: %v %q %v, want it rejected", length, name, resp, text, err)
			}
			if resp.Header.Get(edge.HeaderOutcome) != "not-run" || got.Load() != nil {
				t.Errorf("%d bytes %s: it ran, or its outcome is %q", length, name, resp.Header.Get(edge.HeaderOutcome))
			}
			resp, _, err = b.call(t, "POST", "/svc/a?q=1", body(good))
			if err != nil || resp.StatusCode != http.StatusOK {
				t.Errorf("%d bytes %s: %v %v, want the other body to be served", length, name, resp, err)
			}
			if p := got.Load(); p == nil || *p != good {
				t.Errorf("%d bytes %s: the target got another body", length, name)
			}
		}
	}
	if used := b.handler.readAheadMemory.used.Load(); used != 0 {
		t.Errorf("%d bytes are still held for bodies", used)
	}
	if b.heldPermits() != 0 {
		t.Error("permits are held")
	}
}

func TestReadAheadKeepsTrailers(t *testing.T) {
	var got atomic.Pointer[string]
	target := newTarget(t, func(_ http.ResponseWriter, r *http.Request) {
		raw, _ := io.ReadAll(r.Body)
		text := string(raw) + " " + r.Trailer.Get("X-Sum")
		got.Store(&text)
	})
	s := &fakeScreener{}
	b := newQuarantineProxy(t, s, target)
	s.heads = map[digest.Digest]bool{b.headOf("POST", "/svc/a").Key(): true}
	req, _ := http.NewRequest("POST", b.URL+"/svc/a", chunkedBody{strings.NewReader("body")})
	req.Trailer = http.Header{"X-Sum": {"7"}}
	resp, err := b.client.Do(req)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatal(resp, err)
	}
	_ = resp.Body.Close()
	if *got.Load() != "body 7" {
		t.Errorf("the target got %q", *got.Load())
	}
}

// The memory of all bodies that are read ahead is limited.
func TestReadAheadMemoryIsLimited(t *testing.T) {
	s := &fakeScreener{}
	b := newQuarantineProxy(t, s, newTarget(t, func(http.ResponseWriter, *http.Request) {}))
	s.heads = map[digest.Digest]bool{b.headOf("POST", "/svc/a").Key(): true}
	b.handler.readAheadMemory.reserve(maxReadAheadBytes - readAheadChunkBytes)
	resp, _, err := b.call(t, "POST", "/svc/a", bytes.NewReader(make([]byte, 3*readAheadChunkBytes)))
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("%v %v, want 503 with Retry-After", resp, err)
	}
	b.handler.readAheadMemory.release(maxReadAheadBytes - readAheadChunkBytes)
	if used := b.handler.readAheadMemory.used.Load(); used != 0 {
		t.Errorf("%d bytes are still held for bodies", used)
	}
}

// A retry is not sent to another target if the first target has crashed and the
// quarantine rejects the request. As the request may have run, its outcome is
// unknown.
func TestRetryIsHeldBackAfterACrash(t *testing.T) {
	var reached atomic.Int64
	second := newTarget(t, func(http.ResponseWriter, *http.Request) { reached.Add(1) })
	s := &fakeScreener{barAfterCrash: true}
	b := newQuarantineProxy(t, s, newBreakingTarget(t, true), second)
	resp, _, err := b.call(t, "GET", "/svc/a", nil)
	if err != nil || resp.StatusCode != http.StatusBadGateway || resp.Header.Get(edge.HeaderOutcome) != "unknown" {
		t.Errorf("%v %v, want 502 and outcome unknown", resp, err)
	}
	if reached.Load() != 0 {
		t.Error("the request reached another target")
	}
	if b.heldPermits() != 0 {
		t.Error("permits are held")
	}
}

// A crash before the whole body was sent is reported with the digest of the
// beginning of the body, as the whole digest is not known.
func TestCrashDuringUploadReportsLeadDigest(t *testing.T) {
	var s *httptest.Server
	s = httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadFull(r.Body, make([]byte, 10_000))
		_ = s.Listener.Close()
		panic(http.ErrAbortHandler)
	}))
	defer s.Close()
	screen := &fakeScreener{}
	b := newQuarantineProxy(t, screen, s.Listener.Addr().String())
	body, writer := io.Pipe()
	beginning := bytes.Repeat([]byte("x"), 20_000)
	go func() {
		var err error
		for err == nil { // until the reader is closed
			_, err = writer.Write(beginning)
			time.Sleep(time.Millisecond)
		}
	}()
	resp, _, err := b.call(t, "POST", "/svc/a", body)
	if err != nil || resp.StatusCode != http.StatusBadGateway {
		t.Fatal(resp, err)
	}
	_ = body.Close()
	want := b.headOf("POST", "/svc/a").NewHasher()
	_, _ = want.Write(beginning)
	lead, _ := want.PrefixSum()
	for range 200 {
		screen.mu.Lock()
		n := len(screen.crashed)
		screen.mu.Unlock()
		if n > 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if len(screen.crashed) != 1 || screen.crashed[0].Prefix != lead || screen.crashed[0].Whole != (digest.Digest{}) {
		t.Errorf("got %+v, want the lead %v", screen.crashed, lead)
	}
}
