package forward

import (
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"runtime/metrics"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"masticturn/internal/edge"
	"masticturn/internal/outcome"
	"masticturn/internal/relaybuf"
	"masticturn/internal/telemetry"
)

// endlessTarget answers each request with some bytes and then repeats others until its peer closes the connection.
type endlessTarget struct {
	address  string
	open     atomic.Int64 // connections
	requests atomic.Int64 // at most one is read on a connection
}

func newEndlessTarget(t *testing.T, first, repeated string) *endlessTarget {
	t.Helper()
	target := &endlessTarget{}
	target.address = serveConns(t, func(conn *net.TCPConn) {
		target.open.Add(1)
		target.serve(conn, first, repeated)
	})
	return target
}

func (e *endlessTarget) serve(conn net.Conn, first, repeated string) {
	defer e.open.Add(-1)
	defer conn.Close()
	head := make([]byte, 4096)
	if n, err := conn.Read(head); err != nil || !strings.Contains(string(head[:n]), "HTTP/1.1\r\n") {
		return
	}
	e.requests.Add(1)
	// Some 30 MB/s, so that many connections leave processor time to the program under test.
	part := strings.Repeat(repeated, 1+(32<<10)/len(repeated))
	for next := first + part; ; next = part {
		if _, err := io.WriteString(conn, next); err != nil {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// heapBytes returns the size of all objects in the heap, including those not collected yet.
func heapBytes() int64 {
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(sample)
	return int64(sample[0].Value.Uint64())
}

// watchHeap calls run and returns by how much the heap grew at most meanwhile.
func watchHeap(run func()) int64 {
	debug.FreeOSMemory() // collects garbage of other tests
	before, most := heapBytes(), int64(0)
	done, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			most = max(most, heapBytes()-before)
			select {
			case <-done:
				return
			case <-time.After(2 * time.Millisecond):
			}
		}
	}()
	run()
	close(done)
	<-stopped
	return most
}

// Guards against targets whose bytes never end and that exhaust the memory of the VMs that call them.
func TestAnswersWithoutEndAreBounded(t *testing.T) {
	const (
		requests = 30
		timeout  = time.Second
		// maxAnswerTime leaves time to a busy machine.
		maxAnswerTime = timeout + 4*time.Second
		memory        = 184 << 20 // of the smallest VMs
		// Bodies may be buffered in a quarter of the memory, and garbage takes as much again until it is collected.
		maxHeapOfHeads, maxHeapOfBodies = memory / 3, memory / 2
		ok                              = "HTTP/1.1 200 OK\r\n"
	)
	tests := []struct {
		name, first, repeated string
		whole                 bool // the answer itself is whole
		partial               bool // its head is valid, so that a part may reach the caller
	}{
		{"header line", ok + "X-Line: ", "a", false, false},
		{"header lines", ok, "X-Line: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n", false, false},
		{"status line", "HTTP/1.1 200 ", "a", false, false},
		{"bytes that are no head", "", "a", false, false},
		{"lines that are no head", "", "aaaaaaaaaaaaaaa\r\n", false, false},
		{"interim answers", "", "HTTP/1.1 103 Early Hints\r\nX: a\r\n\r\n", false, false},
		{"body in chunks", ok + "Transfer-Encoding: chunked\r\n\r\n", "a\r\n0123456789\r\n", false, true},
		{"chunk extension", ok + "Transfer-Encoding: chunked\r\n\r\na;", "x", false, true},
		{"trailer line", ok + "Transfer-Encoding: chunked\r\n\r\na\r\n0123456789\r\n0\r\nX: ", "a", false, true},
		{"trailer lines", ok + "Transfer-Encoding: chunked\r\n\r\na\r\n0123456789\r\n0\r\n", "X: a\r\n", false, true},
		{"body without a length", ok + "Connection: close\r\n\r\n", "a", false, true},
		{"bytes after a whole answer", ok + "Content-Length: 2\r\n\r\nok", "a", true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			target := newEndlessTarget(t, tt.first, tt.repeated)
			doc := singleAttemptDocument(target.address)
			doc.Classes[0].TimeoutMS = 1000
			b := newTestProxy(t, doc, nil, telemetry.Discard())
			b.handler.deps.Dialect.CloseDelimitedResponses = true
			b.handler.relayMemory = relaybuf.NewMemory(relayMemoryLimit(memory))
			heap := watchHeap(func() {
				var group sync.WaitGroup
				for range requests {
					group.Go(func() {
						began := time.Now()
						status, outcomeHeader, err := b.discardAnswer(t)
						if took := time.Since(began); took > maxAnswerTime {
							t.Errorf("the final answer came after %v", took)
						}
						switch {
						case tt.whole:
							if status != http.StatusOK || err != nil {
								t.Errorf("got %d, error %v; want a whole answer", status, err)
							}
						case tt.partial && status == http.StatusOK:
							if err == nil {
								t.Error("a part looks like a whole answer")
							}
						case status/100 != 5 || outcomeHeader != "unknown" || err != nil:
							t.Errorf("got %d, outcome %q, error %v; want a failure with the outcome unknown", status, outcomeHeader, err)
						}
					})
				}
				group.Wait()
			})
			maxHeap := int64(maxHeapOfHeads)
			if tt.partial {
				maxHeap = maxHeapOfBodies
			}
			if heap > maxHeap {
				t.Errorf("%d requests took %d MB of heap, want at most %d MB", requests, heap>>20, maxHeap>>20)
			}
			if held := b.heldPermits(); held != 0 {
				t.Errorf("%d permits are still held", held)
			}
			if n := target.requests.Load(); n != requests {
				t.Errorf("%d connections carried a request, want one for each of %d", n, requests)
			}
			for since := time.Now(); target.open.Load() > 0; time.Sleep(time.Millisecond) {
				if time.Since(since) > 5*time.Second {
					t.Fatalf("%d connections are still open", target.open.Load())
				}
			}
			for _, r := range b.admission.released {
				if !tt.whole && r.Outcome != outcome.Unknown {
					t.Fatalf("released with %+v, so that the target is not taken out", r)
				}
			}
			t.Logf("heap grew by %d MB", heap>>20)
		})
	}
}

// discardAnswer sends a request and reads the answer to its end.
func (b *testProxy) discardAnswer(t *testing.T) (status int, outcomeHeader string, err error) {
	resp, err := b.client.Get(b.URL + "/svc/a")
	if err != nil {
		t.Error(err)
		return 0, "", err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Header.Get(edge.HeaderOutcome), err
}
