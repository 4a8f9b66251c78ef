package forward

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"masticturn/internal/config"
)

// impatientTarget answers with a body of the given size and aborts it if it was not read within maxUnread.
type impatientTarget struct {
	size      int
	maxUnread time.Duration
	aborted   atomic.Int64
}

func (i *impatientTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/svc/large" {
		_, _ = io.WriteString(w, "small")
		return
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(i.maxUnread))
	w.Header().Set("Content-Length", fmt.Sprint(i.size))
	if _, err := w.Write(bytes.Repeat([]byte("x"), i.size)); err != nil {
		i.aborted.Add(1)
	}
}

// largeDocument returns a document with a route for large responses.
func largeDocument() *config.Document {
	doc := testDocument("10.0.0.1:80")
	svc := &doc.Services[0]
	svc.Routes = append([]config.Route{{PathPrefix: "large", Class: "fast", Tenant: "t"}}, svc.Routes...)
	doc.Fleet.MaxVMs = 1
	svc.Targets[0].Connections = 1000
	return doc
}

// rateLimitedReader reads at a rate in bytes/s.
type rateLimitedReader struct {
	conn      net.Conn
	perSecond int
}

const readsPerSecond = 20

func (s *rateLimitedReader) Read(p []byte) (int, error) {
	time.Sleep(time.Second / readsPerSecond)
	return s.conn.Read(p[:min(len(p), s.perSecond/readsPerSecond)])
}

// getSlowly requests the large response, reads it at a rate in bytes/s, and returns the status and the
// number of bytes read.
func getSlowly(b *testProxy, path string, perSecond int) (status, n int, retryAfter string, err error) {
	conn, err := b.client.Transport.(*http.Transport).DialContext(context.Background(), "", "")
	if err != nil {
		return 0, 0, "", err
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		return 0, 0, "", err
	}
	resp, err := http.ReadResponse(bufio.NewReader(&rateLimitedReader{conn, perSecond}), nil)
	if err != nil {
		return 0, 0, "", err
	}
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, len(body), resp.Header.Get("Retry-After"), err
}

// A caller who reads slowly must get the whole response of a target that aborts a response which is not
// read within three seconds.
func TestSlowCallerGetsTheWholeResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := &impatientTarget{size: 2_000_000, maxUnread: 3 * time.Second}
		b := newPipeProxy(t, largeDocument(), dialHandler(target))
		status, n, _, err := getSlowly(b, "/svc/large", 60_000)
		if err != nil || status != http.StatusOK || n != target.size || target.aborted.Load() != 0 {
			t.Errorf("got %d with %d bytes, %v; %d responses were aborted", status, n, err, target.aborted.Load())
		}
		if reserved := b.handler.relayMemory.Reserved(); reserved != 0 {
			t.Errorf("%d bytes are still reserved", reserved)
		}
	})
}

// Many slow callers at a small VM: no response is aborted, the memory stays within its limit, and requests
// with small responses are served. Callers beyond the limit are refused as not run, and served later.
func TestManySlowCallersShareTheMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const callers, memory = 200, 136 << 20
		target := &impatientTarget{size: 1_000_000, maxUnread: 3 * time.Second}
		vm := testVM
		vm.MemoryBytes = memory
		b := newPipeProxyOn(t, largeDocument(), dialHandler(target), vm)
		if status, _, _, err := getSlowly(b, "/svc/large", 10_000_000); status != http.StatusOK || err != nil {
			t.Fatal(status, err)
		}
		var wg sync.WaitGroup
		var served, refused atomic.Int64
		for range callers {
			wg.Go(func() {
				for {
					status, n, retryAfter, err := getSlowly(b, "/svc/large", 60_000)
					if status == http.StatusServiceUnavailable && retryAfter != "" {
						refused.Add(1)
						time.Sleep(time.Second)
						continue
					}
					if err != nil || status != http.StatusOK || n != target.size {
						t.Errorf("got %d with %d bytes, %v", status, n, err)
						return
					}
					served.Add(1)
					return
				}
			})
		}
		for range 100 {
			time.Sleep(200 * time.Millisecond)
			if reserved := b.handler.relayMemory.Reserved(); reserved > relayMemoryLimit(memory) {
				t.Errorf("%d bytes are reserved, want at most %d", reserved, relayMemoryLimit(memory))
			}
			if status, _, _, err := getSlowly(b, "/svc/small", 60_000); status != http.StatusOK || err != nil {
				t.Errorf("a request with a small response got %d, %v", status, err)
			}
		}
		wg.Wait()
		if served.Load() != callers || target.aborted.Load() != 0 || refused.Load() == 0 {
			t.Errorf("%d of %d callers were served, %d requests refused, %d responses aborted",
				served.Load(), callers, refused.Load(), target.aborted.Load())
		}
	})
}
