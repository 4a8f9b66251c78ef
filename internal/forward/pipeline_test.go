package forward

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"masticturn/internal/edge"
)

// recordingTarget is a target on in-memory connections that records the requests it runs.
type recordingTarget struct {
	runTime time.Duration

	mu       sync.Mutex
	runs     []string // method, path and body of each run
	canceled []string
	left     []int // milliseconds until the deadline of each run
}

func (r *recordingTarget) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	text := fmt.Sprintf("%s %s %s", req.Method, req.URL.Path, body)
	r.mu.Lock()
	r.runs = append(r.runs, text)
	left, _ := strconv.Atoi(req.Header.Get(edge.HeaderTargetDeadlineMS))
	r.left = append(r.left, left)
	r.mu.Unlock()
	timer := time.NewTimer(r.runTime)
	defer timer.Stop()
	select {
	case <-timer.C:
		_, _ = io.WriteString(w, text)
	case <-req.Context().Done():
		r.mu.Lock()
		defer r.mu.Unlock()
		r.canceled = append(r.canceled, text)
	}
}

func (r *recordingTarget) state() (runs, canceled []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.runs), slices.Clone(r.canceled)
}

// newRecordedProxy returns a connection to a proxy and the target behind it.
func newRecordedProxy(t *testing.T, runTime time.Duration) (net.Conn, *recordingTarget) {
	target := &recordingTarget{runTime: runTime}
	b := newPipeProxy(t, testDocument("10.0.0.1:80"), dialHandler(target))
	conn, err := b.client.Transport.(*http.Transport).DialContext(t.Context(), "", "")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn, target
}

// When a caller that has sent further requests leaves, the run of the first one must be canceled within
// half a second, and no further one may reach a target.
func TestPipeliningCallerThatLeavesCancelsItsRun(t *testing.T) {
	for behind := range 7 {
		synctest.Test(t, func(t *testing.T) {
			conn, target := newRecordedProxy(t, time.Minute)
			_, _ = io.WriteString(conn, "GET /svc/0 HTTP/1.1\r\nHost: x\r\n\r\n")
			for i := range behind {
				time.Sleep(100 * time.Millisecond)
				_, _ = fmt.Fprintf(conn, "GET /svc/%d HTTP/1.1\r\nHost: x\r\n\r\n", i+1)
			}
			time.Sleep(350 * time.Millisecond)
			_ = conn.Close()
			time.Sleep(500 * time.Millisecond)
			synctest.Wait()
			if runs, canceled := target.state(); len(runs) != 1 || len(canceled) != 1 {
				t.Errorf("%d behind: %d runs, %d of them canceled when the caller had left; want 1 and 1", behind, len(runs), len(canceled))
			}
			time.Sleep(10 * time.Second)
			if runs, _ := target.state(); len(runs) != 1 {
				t.Errorf("%d behind: the target ran %q", behind, runs)
			}
		})
	}
}

// A request that has waited behind another is run even if its objective has passed, as long as its caller waits. Its
// target gets the time that is left.
func TestRequestsThatWaitedBehindOthersRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const requests, timeout = 4, 4000
		conn, target := newRecordedProxy(t, 400*time.Millisecond)
		go func() {
			for i := range requests {
				_, _ = fmt.Fprintf(conn, "GET /svc/%d HTTP/1.1\r\nHost: x\r\n%s: %d\r\n\r\n", i, edge.HeaderTimeoutMS, timeout)
				time.Sleep(time.Millisecond)
			}
		}()
		answers := bufio.NewReader(conn)
		for i := range requests {
			resp, err := http.ReadResponse(answers, nil)
			if err != nil || resp.StatusCode != http.StatusOK {
				t.Fatalf("request %d: got %v, %v", i, resp, err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
		}
		target.mu.Lock()
		defer target.mu.Unlock()
		for i, left := range target.left {
			if waited := i * 400; left > timeout-waited {
				t.Errorf("the target of request %d got %d ms after it had waited %d of %d", i, left, waited, timeout)
			}
		}
	})
}

// pipelinedRequest is a request on a raw connection, and what its target and its caller must see.
type pipelinedRequest struct {
	raw    string
	run    string // empty: it must not reach a target
	status int
}

// smuggled is a request that must never be taken for one, as it is the content of a body.
const smuggled = "GET /svc/smuggled HTTP/1.1\r\nHost: x\r\n\r\n"

// newPipelinedRequest returns a random request.
func newPipelinedRequest(random *rand.Rand, id int) pipelinedRequest {
	body := strings.Repeat(smuggled, 1+random.IntN(3))
	path := fmt.Sprintf("/svc/%d", id)
	switch random.IntN(6) {
	case 0:
		return pipelinedRequest{
			fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body),
			"POST " + path + " " + body, http.StatusOK,
		}
	case 1:
		raw := fmt.Sprintf("PUT %s HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nTrailer: Checksum\r\n\r\n", path)
		for rest := body; rest != ""; {
			n := min(len(rest), 1+random.IntN(60))
			raw += fmt.Sprintf("%x\r\n%s\r\n", n, rest[:n])
			rest = rest[n:]
		}
		return pipelinedRequest{raw + "0\r\nChecksum: 1\r\n\r\n", "PUT " + path + " " + body, http.StatusOK}
	case 2: // refused by its path, with a body that no one reads
		return pipelinedRequest{
			fmt.Sprintf("POST /nowhere HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
			"", http.StatusNotFound,
		}
	}
	return pipelinedRequest{fmt.Sprintf("GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path), "GET " + path + " ", http.StatusOK}
}

// checkPipelined sends requests in the given parts and checks what the caller and the target see.
func checkPipelined(t *testing.T, requests []pipelinedRequest, cuts []int) {
	conn, target := newRecordedProxy(t, 10*time.Millisecond)
	var raw strings.Builder
	var want []string
	for _, r := range requests {
		raw.WriteString(r.raw)
		if r.run != "" {
			want = append(want, r.run)
		}
	}
	go func() {
		text, sent := raw.String(), 0
		for _, cut := range append(cuts, len(text)) {
			if _, err := io.WriteString(conn, text[sent:cut]); err != nil {
				return
			}
			sent = cut
			time.Sleep(3 * time.Millisecond)
		}
	}()
	answers := bufio.NewReader(conn)
	for i, r := range requests {
		resp, err := http.ReadResponse(answers, nil)
		if err != nil {
			t.Errorf("cut at %v: answer %d: %v", cuts, i, err)
			return
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil || resp.StatusCode != r.status || r.run != "" && string(body) != r.run {
			t.Errorf("cut at %v: answer %d: got %d %q %v, want %d %q", cuts, i, resp.StatusCode, body, err, r.status, r.run)
		}
	}
	if runs, _ := target.state(); !slices.Equal(runs, want) {
		t.Errorf("cut at %v: the target ran %q, want %q", cuts, runs, want)
	}
}

// Of requests that follow each other on a connection, however they are cut into parts, targets must get
// exactly those that were sent, in order, and nothing of a body may be taken for a request.
func TestPipelinedRequestsStayApart(t *testing.T) {
	const sequences = 60
	for seed := range uint64(sequences) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 5))
			var requests []pipelinedRequest
			length := 0
			for i := range 2 + random.IntN(4) {
				r := newPipelinedRequest(random, i)
				requests = append(requests, r)
				length += len(r.raw)
			}
			cuts := make([]int, 1+random.IntN(4))
			for i := range cuts {
				cuts[i] = 1 + random.IntN(length-1)
			}
			slices.Sort(cuts)
			checkPipelined(t, requests, slices.Compact(cuts))
		})
	}
}

// The same for each byte at which two requests can be cut.
func TestPipelinedRequestsCutAtEachByte(t *testing.T) {
	requests := []pipelinedRequest{
		{"POST /svc/0 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "POST /svc/0 body", http.StatusOK},
		{"GET /svc/1 HTTP/1.1\r\nHost: x\r\n\r\n", "GET /svc/1 ", http.StatusOK},
	}
	for cut := 1; cut < len(requests[0].raw)+len(requests[1].raw); cut++ {
		synctest.Test(t, func(t *testing.T) { checkPipelined(t, requests, []int{cut}) })
	}
}

// Requests whose length is ambiguous or invalid must not let a part of their body reach a target as a
// request.
func TestAmbiguousLengthsSmuggleNothing(t *testing.T) {
	tests := map[string]string{
		"two lengths":             "POST /svc/0 HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nContent-Length: 44\r\n\r\n",
		"length and chunks":       "POST /svc/0 HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"signed length":           "POST /svc/0 HTTP/1.1\r\nHost: x\r\nContent-Length: +4\r\n\r\n",
		"unknown coding":          "POST /svc/0 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: xchunked\r\n\r\n",
		"space before the colon":  "POST /svc/0 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding : chunked\r\nContent-Length: 4\r\n\r\n",
		"invalid chunk size":      "POST /svc/0 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
		"chunk longer than given": "POST /svc/0 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nbody\r\n0\r\n\r\n",
	}
	for name, raw := range tests {
		synctest.Test(t, func(t *testing.T) {
			conn, target := newRecordedProxy(t, 10*time.Millisecond)
			go func() { _, _ = io.WriteString(conn, raw+smuggled) }()
			_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
			_, _ = io.Copy(io.Discard, conn)
			runs, _ := target.state()
			for _, run := range runs {
				if name != "length and chunks" && strings.Contains(run, "GET /svc/smuggled") {
					t.Errorf("%s: the target ran %q", name, run)
				}
			}
		})
	}
}
