package targetconn

import (
	"net"
	"testing"
	"time"

	"masticturn/internal/kernel"
)

// The next request uses a connection that was opened ahead. None is opened while
// another is open, or beyond half of the limit.
func TestOpenAhead(t *testing.T) {
	p := newPools(t)
	target := soundTarget(t)
	for _, want := range []bool{true, false} { // none is opened while another is idle
		if opened, err := p.OpenAhead(t.Context(), target, 4); err != nil || opened != want {
			t.Fatalf("OpenAhead = %v, %v; want %v", opened, err, want)
		}
	}
	c := get(t, p, target, 4, UseAny)
	if !c.reused || c.ConnectTime() != 0 {
		t.Error("the request did not reuse the connection opened ahead")
	}
	if opened, err := p.OpenAhead(t.Context(), target, 4); err != nil || opened {
		t.Errorf("OpenAhead with a connection in use = %v, %v; want false", opened, err)
	}
	if !p.HasOpen(target) {
		t.Error("HasOpen is false although a connection is in use")
	}
	c.Drop()
	if p.HasOpen(target) {
		t.Error("HasOpen is true although the connection was dropped")
	}
	if opened, err := p.OpenAhead(t.Context(), target, 1); err != nil || opened {
		t.Errorf("OpenAhead with a limit of 1 = %v, %v; want false", opened, err)
	}
}

// A failed attempt to open a connection leaves nothing in the pool.
func TestOpenAheadFails(t *testing.T) {
	p := newPools(t)
	target := rawTarget(t, func(int, net.Conn) {})
	target.Address = "127.0.0.1:1"
	if opened, err := p.OpenAhead(t.Context(), target, 4); err == nil || opened {
		t.Errorf("OpenAhead = %v, %v; want an error", opened, err)
	}
	if p.HasOpen(target) {
		t.Error("HasOpen is true although no connection was opened")
	}
}

func TestIdleLimitFor(t *testing.T) {
	for keeps, want := range map[time.Duration]time.Duration{
		0:                defaultIdleLimit, // not announced
		3 * time.Second:  defaultIdleLimit,
		10 * time.Second: 9 * time.Second,
		time.Hour:        maxIdleLimit,
	} {
		if got := IdleLimitFor(keeps); got != want {
			t.Errorf("keep-alive timeout %v: idle limit %v, want %v", keeps, got, want)
		}
	}
}

// The idle limit of a pool follows the keep-alive timeout that its target announced.
func TestIdleLimitFollowsKeepAliveTimeout(t *testing.T) {
	for keeps, want := range map[time.Duration]time.Duration{0: defaultIdleLimit, 10 * time.Second: 9 * time.Second} {
		p := &pool{keepAliveTimeout: keeps}
		if got := p.idleLimitLocked(); got != want {
			t.Errorf("keep-alive timeout %v: idle limit %v, want %v", keeps, got, want)
		}
	}
}

func TestAheadBudget(t *testing.T) {
	var b AheadBudget
	if b.Withdraw() {
		t.Error("an empty budget allowed a connection")
	}
	b.Deposit()
	for i := range aheadPerRequest + 1 {
		if got, want := b.Withdraw(), i < aheadPerRequest; got != want {
			t.Errorf("connection %d after one request: allowed %v, want %v", i, got, want)
		}
	}
	for range 2 * maxAheadBudget {
		b.Deposit()
	}
	n := 0
	for b.Withdraw() {
		n++
	}
	if n != maxAheadBudget {
		t.Errorf("the budget allowed %d connections, want %d", n, maxAheadBudget)
	}
}

// recordManyStale records enough stale connections to reduce the idle limit. Each was idle for the given
// time.
func recordManyStale(s *staleness, idle time.Duration, now time.Time) {
	for range 3 {
		s.recordStale(idle, now)
	}
}

// Stale connections reduce the idle limit, as given by the shortest of their idle
// times. After reducedLimitTime the usual limit applies again.
func TestStaleConnectionsReduceIdleLimit(t *testing.T) {
	var s staleness
	now := time.Unix(1000, 0)
	if got := s.limitIdleTime(defaultIdleLimit, now); got != defaultIdleLimit {
		t.Errorf("idle limit %v without stale connections", got)
	}
	recordManyStale(&s, 2*time.Second, now)
	s.recordStale(8*time.Second, now) // of a target with a longer timeout
	if got := s.limitIdleTime(defaultIdleLimit, now); got != 500*time.Millisecond {
		t.Errorf("idle limit %v, want a quarter of the shortest idle time", got)
	}
	if got := s.limitIdleTime(100*time.Millisecond, now); got != 100*time.Millisecond {
		t.Errorf("a limit of 100 ms was changed to %v", got)
	}
	if got := s.limitIdleTime(defaultIdleLimit, now.Add(reducedLimitTime)); got != defaultIdleLimit {
		t.Errorf("idle limit %v after %v, want %v", got, reducedLimitTime, defaultIdleLimit)
	}
}

// A small share of stale connections does not reduce the idle limit. It may be
// caused by targets whose addresses were reassigned.
func TestFewStaleConnectionsChangeNothing(t *testing.T) {
	var s staleness
	now := time.Unix(1000, 0)
	for i := range 300 {
		if i%15 == 0 {
			s.recordStale(time.Second, now)
		} else {
			s.recordUsable()
		}
		if got := s.limitIdleTime(defaultIdleLimit, now); got != defaultIdleLimit {
			t.Fatalf("idle limit %v after %d uses, one in 15 stale", got, i+1)
		}
	}
	for range 20 { // half of the uses are stale
		s.recordStale(time.Second, now)
		s.recordUsable()
	}
	if got := s.limitIdleTime(defaultIdleLimit, now); got == defaultIdleLimit {
		t.Error("the idle limit is not reduced although half of the connections were stale")
	}
}

// A reset that arrives too soon for the target to have run the request means a stale connection. A later
// one means that the target failed.
func TestStale(t *testing.T) {
	const trip = 70 * time.Millisecond
	tests := []struct {
		name   string
		reused bool
		idle   time.Duration
		after  time.Duration
		want   bool
	}{
		{"idle connection, immediate reset", true, time.Second, trip, true},
		{"idle connection, reset after a short run", true, time.Second, trip + 72*time.Millisecond, false},
		{"idle connection, reset after a long run", true, time.Second, 400 * time.Millisecond, false},
		{"connection in use shortly before", true, 100 * time.Millisecond, trip, false},
		{"new connection", false, 0, trip, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := &Pools{deps: Deps{Clock: kernel.SystemClock{}}}
			p.staleness.share = 1 // all earlier connections were stale
			c := &Conn{pool: p.newPool(), reused: tt.reused, idleFor: tt.idle}
			c.pool.recordConnectTime(2 * trip) // slower, as on a loaded VM
			c.pool.recordConnectTime(trip)
			if got := c.DetectStale(tt.after); got != tt.want {
				t.Errorf("DetectStale = %v, want %v", got, tt.want)
			}
			if p.MostlyStale() != tt.want {
				t.Errorf("MostlyStale = %v, want %v", p.MostlyStale(), tt.want)
			}
		})
	}
}

// While many connections are stale, idle times above the reduced limit prevent reuse.
func TestIdleConnectionsWhileMostAreStale(t *testing.T) {
	p := newPools(t)
	target := soundTarget(t)
	c := get(t, p, target, 4, UseAny)
	if body, err := exchange(t.Context(), c, "GET"); err != nil || body != "ok" {
		t.Fatalf("%q, %v", body, err)
	}
	c.Keep()
	recordManyStale(&p.staleness, 0, time.Now())
	if again := get(t, p, target, 4, UseAny); again.reused {
		t.Error("an idle connection was reused")
	}
}
