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

// fixedScreen holds back some requests.
type fixedScreen struct {
	mu       sync.Mutex
	held     map[digest.Digest]bool
	heads    map[digest.Digest]bool
	barred   bool // whatever has entered
	crashed  []quarantine.Subject
	answered []quarantine.Subject
}

func (f *fixedScreen) Active() bool                 { return true }
func (f *fixedScreen) Has(quarantine.Subject) bool  { return true }
func (f *fixedScreen) HasHead(h digest.Digest) bool { return f.heads[h] }

func (f *fixedScreen) Enter(_ context.Context, s quarantine.Subject) (*quarantine.Pass, *quarantine.Refusal) {
	if f.held[s.Whole] {
		return nil, &quarantine.Refusal{Digest: s.Whole, Judgement: quarantine.Judgement{Verdict: quarantine.Quarantined}}
	}
	return nil, nil
}

func (f *fixedScreen) Barred(s quarantine.Subject) *quarantine.Refusal {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.barred && len(f.crashed) > 0 {
		return &quarantine.Refusal{Digest: s.Whole, Judgement: quarantine.Judgement{Verdict: quarantine.Quarantined}}
	}
	return nil
}

func (f *fixedScreen) Crashed(s quarantine.Subject, _ string, _, _ time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashed = append(f.crashed, s)
}

func (f *fixedScreen) Answered(s quarantine.Subject) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answered = append(f.answered, s)
}

// screened returns a bench whose handler asks a screen.
func screened(t *testing.T, s *fixedScreen, targets ...string) *bench {
	t.Helper()
	b := newBench(t, document(targets...), nil, telemetry.Discard())
	b.handler.deps.Screen = s
	b.handler.ends.deps.Screen = s
	return b
}

// headOf is the identity of a request's head as the bench's callers send it.
func (b *bench) headOf(method, uri string) digest.Head {
	return digest.HeadOf(method, strings.TrimPrefix(b.URL, "http://"), uri, "", "")
}

// pieces hides a body's length, so that it is sent in chunks.
type pieces struct{ io.Reader }

func TestBodiesTellRequestsApart(t *testing.T) {
	var got atomic.Pointer[string]
	target := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		raw, _ := io.ReadAll(r.Body)
		text := string(raw)
		got.Store(&text)
		_, _ = io.WriteString(w, "ok")
	})
	s := &fixedScreen{}
	b := screened(t, s, target)
	head := b.headOf("POST", "/svc/a?q=1")
	s.heads = map[digest.Digest]bool{head.Key(): true}
	s.held = make(map[digest.Digest]bool)
	for _, length := range []int{10, 200_000, 3 << 20} {
		bad, good := strings.Repeat("x", length), strings.Repeat("x", length-1)+"y"
		s.held[head.Sum([]byte(bad))] = true
		for name, body := range map[string]func(string) io.Reader{
			"with a length": func(text string) io.Reader { return strings.NewReader(text) },
			"in chunks":     func(text string) io.Reader { return pieces{strings.NewReader(text)} },
		} {
			got.Store(nil)
			resp, text, err := b.call(t, "POST", "/svc/a?q=1", body(bad))
			if err != nil || resp.StatusCode != http.StatusBadRequest || resp.Header.Get("Retry-After") != "" || !strings.Contains(text, "quarantine") {
				t.Errorf("%d bytes %s: %v %q %v, want it refused", length, name, resp, text, err)
			}
			if resp.Header.Get(edge.HeaderOutcome) != "not-run" || got.Load() != nil {
				t.Errorf("%d bytes %s: it ran, or the caller is told %q", length, name, resp.Header.Get(edge.HeaderOutcome))
			}
			resp, _, err = b.call(t, "POST", "/svc/a?q=1", body(good))
			if err != nil || resp.StatusCode != http.StatusOK {
				t.Errorf("%d bytes %s: %v %v, want another body served", length, name, resp, err)
			}
			if p := got.Load(); p == nil || *p != good {
				t.Errorf("%d bytes %s: the target got another body", length, name)
			}
		}
	}
	if used := b.handler.bodies.used.Load(); used != 0 {
		t.Errorf("%d bytes are still held for bodies", used)
	}
	if b.heldPermits() != 0 {
		t.Error("permits are held")
	}
}

func TestTrailersOutliveReadingAhead(t *testing.T) {
	var got atomic.Pointer[string]
	target := newTarget(t, func(_ http.ResponseWriter, r *http.Request) {
		raw, _ := io.ReadAll(r.Body)
		text := string(raw) + " " + r.Trailer.Get("X-Sum")
		got.Store(&text)
	})
	s := &fixedScreen{}
	b := screened(t, s, target)
	s.heads = map[digest.Digest]bool{b.headOf("POST", "/svc/a").Key(): true}
	req, _ := http.NewRequest("POST", b.URL+"/svc/a", pieces{strings.NewReader("body")})
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

// Bodies that are read ahead are bounded together.
func TestReadingAheadIsBounded(t *testing.T) {
	s := &fixedScreen{}
	b := screened(t, s, newTarget(t, func(http.ResponseWriter, *http.Request) {}))
	s.heads = map[digest.Digest]bool{b.headOf("POST", "/svc/a").Key(): true}
	b.handler.bodies.reserve(maxReadAhead - readAheadPiece)
	resp, _, err := b.call(t, "POST", "/svc/a", bytes.NewReader(make([]byte, 3*readAheadPiece)))
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("%v %v, want it refused for a while", resp, err)
	}
	b.handler.bodies.free(maxReadAhead - readAheadPiece)
	if used := b.handler.bodies.used.Load(); used != 0 {
		t.Errorf("%d bytes are still held for bodies", used)
	}
}

// A retry does not go to another target once the first one has crashed and the
// request is held back; what has run is not said not to have.
func TestRetryIsHeldBackAfterACrash(t *testing.T) {
	var reached atomic.Int64
	second := newTarget(t, func(http.ResponseWriter, *http.Request) { reached.Add(1) })
	s := &fixedScreen{barred: true}
	b := screened(t, s, breakingTarget(t, true), second)
	resp, _, err := b.call(t, "GET", "/svc/a", nil)
	if err != nil || resp.StatusCode != http.StatusBadGateway || resp.Header.Get(edge.HeaderOutcome) != "unknown" {
		t.Errorf("%v %v, want 502 and that nobody knows", resp, err)
	}
	if reached.Load() != 0 {
		t.Error("the request reached another target")
	}
	if b.heldPermits() != 0 {
		t.Error("permits are held")
	}
}

// A target that crashes before the whole body was sent tells of the requests that
// begin alike.
func TestCrashDuringAnUploadTellsItsBeginning(t *testing.T) {
	var s *httptest.Server
	s = httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadFull(r.Body, make([]byte, 10_000))
		_ = s.Listener.Close()
		panic(http.ErrAbortHandler)
	}))
	defer s.Close()
	screen := &fixedScreen{}
	b := screened(t, screen, s.Listener.Addr().String())
	body, feed := io.Pipe()
	beginning := bytes.Repeat([]byte("x"), 20_000)
	go func() {
		var err error
		for err == nil { // it goes on until nobody reads it any more
			_, err = feed.Write(beginning)
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
	if len(screen.crashed) != 1 || screen.crashed[0].Lead != lead || screen.crashed[0].Whole != (digest.Digest{}) {
		t.Errorf("got %+v, want the lead %v", screen.crashed, lead)
	}
}
