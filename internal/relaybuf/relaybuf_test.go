package relaybuf

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// response is the body of a response that a target sends without a pause.
func response(size int) []byte {
	body := make([]byte, size)
	random := rand.New(rand.NewPCG(uint64(size), 1))
	for i := range body {
		body[i] = byte(random.Uint32())
	}
	return body
}

// relay passes a body through a buffer to a caller that takes a pause for each part. It returns what the
// caller got and how long receiving took.
func relay(m *Memory, r *Reservation, body io.Reader, length int64, pause time.Duration) (got []byte, receiving time.Duration, err error) {
	b := NewBuffer(r, length)
	began := time.Now()
	var wg sync.WaitGroup
	wg.Go(func() {
		b.Receive(body.Read, func() {})
		receiving = time.Since(began)
	})
	for {
		part, nextErr := b.Next()
		if nextErr != nil {
			err = nextErr
			break
		}
		got = append(got, part...)
		time.Sleep(pause)
	}
	b.Close()
	wg.Wait()
	return got, receiving, err
}

// A response that fits into the memory is received at once although its caller is slow, and arrives whole.
func TestSlowCallerDoesNotDelayReceiving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := NewMemory(8 << 20)
		body := response(3_000_000)
		r := m.Reserve(0)
		got, receiving, err := relay(m, r, bytes.NewReader(body), int64(len(body)), 500*time.Millisecond)
		if err != io.EOF || !bytes.Equal(got, body) {
			t.Errorf("got %d of %d bytes, %v", len(got), len(body), err)
		}
		if receiving > 0 {
			t.Errorf("receiving took %v", receiving)
		}
		r.Release()
		if m.Reserved() != 0 {
			t.Errorf("%d bytes are still reserved", m.Reserved())
		}
	})
}

// Beyond the limit a response is received as fast as its caller reads, and still arrives whole. The limit
// holds at any time but for one part of each response.
func TestLimitHoldsWithManySlowCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit, callers = 1 << 20, 40
		m := NewMemory(limit)
		var wg sync.WaitGroup
		for i := range callers {
			wg.Go(func() {
				body := response(200_000 + 1000*i)
				length := int64(len(body))
				if i%2 == 0 {
					length = -1
				}
				r := m.Reserve(0)
				defer r.Release()
				got, _, err := relay(m, r, bytes.NewReader(body), length, 50*time.Millisecond)
				if err != io.EOF || !bytes.Equal(got, body) {
					t.Errorf("caller %d got %d of %d bytes, %v", i, len(got), len(body), err)
				}
			})
		}
		for range 100 {
			time.Sleep(10 * time.Millisecond)
			if held := m.Reserved(); held > limit {
				t.Fatalf("%d bytes are reserved, limit %d", held, limit)
			}
		}
		wg.Wait()
		if m.Reserved() != 0 {
			t.Errorf("%d bytes are still reserved", m.Reserved())
		}
	})
}

// A response for which memory was reserved is received at once, however much the others want.
func TestReservationIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := NewMemory(2 << 20)
		body := response(1_000_000)
		reserved := m.Reserve(int64(len(body)) + PartBytes)
		var wg sync.WaitGroup
		for range 20 {
			wg.Go(func() {
				r := m.Reserve(0)
				defer r.Release()
				_, _, _ = relay(m, r, bytes.NewReader(response(2_000_000)), -1, time.Second)
			})
		}
		time.Sleep(time.Second)
		got, receiving, err := relay(m, reserved, bytes.NewReader(body), int64(len(body)), 200*time.Millisecond)
		reserved.Release()
		if err != io.EOF || !bytes.Equal(got, body) || receiving > 0 {
			t.Errorf("got %d of %d bytes, %v, received in %v; want at once", len(got), len(body), err, receiving)
		}
		wg.Wait()
	})
}

// Memory beyond the limit is not reserved, but for one response larger than the limit.
func TestReserve(t *testing.T) {
	m := NewMemory(100)
	first := m.Reserve(500)
	if first == nil || m.Reserve(1) != nil {
		t.Error("a response larger than the limit must be admitted alone")
	}
	first.Release()
	first.Release()
	a, b := m.Reserve(60), m.Reserve(40)
	if a == nil || b == nil || m.Reserve(1) != nil || m.Reserve(0) == nil {
		t.Error("the limit is not used exactly")
	}
}

// An error of the target arrives at the sender after all bytes that were received before it.
func TestErrorFollowsTheReceivedBytes(t *testing.T) {
	m := NewMemory(1 << 20)
	broken := errors.New("broken")
	body := response(100_000)
	got, _, err := relay(m, m.Reserve(0), io.MultiReader(bytes.NewReader(body), &failingReader{broken}), 200_000, 0)
	if !errors.Is(err, broken) || !bytes.Equal(got, body) {
		t.Errorf("got %d bytes and %v, want %d and %v", len(got), err, len(body), broken)
	}
}

type failingReader struct{ err error }

func (f *failingReader) Read([]byte) (int, error) { return 0, f.err }

// Expected sizes follow the largest recent ones. Small responses are expected to need nothing.
func TestSizes(t *testing.T) {
	var s Sizes
	s.Observe("small", 1000)
	s.Observe("large", 3_000_000)
	s.Observe("large", 40_000)
	if got := s.Expect("small"); got != 0 {
		t.Errorf("small: %d bytes", got)
	}
	if got := s.Expect("large"); got < 2_900_000 || got > 3_000_000 {
		t.Errorf("large: %d bytes", got)
	}
	for range 500 {
		s.Observe("large", 1000)
	}
	if got := s.Expect("large"); got != 0 {
		t.Errorf("%d bytes are expected long after the last large response", got)
	}
	for i := range 2 * maxSizes {
		s.Observe(string(rune(i)), 1<<20)
	}
	if n := len(s.expected); n > maxSizes {
		t.Errorf("%d sizes are kept", n)
	}
}
