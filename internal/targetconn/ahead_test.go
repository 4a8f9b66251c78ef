package targetconn

import (
	"net"
	"testing"
	"time"

	"masticturn/internal/kernel"
)

// A connection that was opened ahead carries the next request, for as long as the
// target says that it keeps idle ones.
func TestOpenAhead(t *testing.T) {
	p := newPools(t)
	target := wholeTarget(t)
	for _, want := range []bool{true, false} { // none is opened while one is idle
		if opened, err := p.OpenAhead(t.Context(), target, 4); err != nil || opened != want {
			t.Fatalf("opened ahead: %v, %v; want %v", opened, err, want)
		}
	}
	c := get(t, p, target, 4, UseAny)
	if !c.reused || c.OpenedIn() != 0 {
		t.Error("the request opened a connection although one was open")
	}
	if opened, err := p.OpenAhead(t.Context(), target, 4); err != nil || opened {
		t.Errorf("opened ahead beside one in use: %v, %v", opened, err)
	}
	if !p.HasOpen(target) {
		t.Error("a connection in use does not count")
	}
	c.Drop()
	if p.HasOpen(target) {
		t.Error("a connection that was dropped counts")
	}
	if opened, err := p.OpenAhead(t.Context(), target, 1); err != nil || opened {
		t.Errorf("opened ahead, %v, %v, where the limit leaves no room for a request", opened, err)
	}
}

// Where no target listens nothing is kept.
func TestOpenAheadFails(t *testing.T) {
	p := newPools(t)
	target := rawTarget(t, func(int, net.Conn) {})
	target.Address = "127.0.0.1:1"
	if opened, err := p.OpenAhead(t.Context(), target, 4); err == nil || opened {
		t.Errorf("opened %v, %v", opened, err)
	}
	if p.HasOpen(target) {
		t.Error("a connection that was never open counts")
	}
}

func TestKeptLimit(t *testing.T) {
	for keeps, want := range map[time.Duration]time.Duration{
		0:                IdleLimit, // not said
		3 * time.Second:  IdleLimit,
		10 * time.Second: 9 * time.Second,
		time.Hour:        keptMost,
	} {
		if got := KeptLimit(keeps); got != want {
			t.Errorf("targets keep %v: used for %v, want %v", keeps, got, want)
		}
	}
}

// An idle connection is kept as long as the target keeps it.
func TestIdleForAsLongAsTheTargetKeeps(t *testing.T) {
	for keeps, want := range map[time.Duration]time.Duration{0: IdleLimit, 10 * time.Second: 9 * time.Second} {
		p := &pool{targetKeeps: keeps}
		if got := p.idleLimit(); got != want {
			t.Errorf("the target keeps %v: idle for %v at most, want %v", keeps, got, want)
		}
	}
}

func TestAheadBudget(t *testing.T) {
	var b AheadBudget
	if b.Spend() {
		t.Error("a budget without requests had one to spend")
	}
	b.Earn()
	for i := range aheadPerRequest + 1 {
		if got, want := b.Spend(), i < aheadPerRequest; got != want {
			t.Errorf("connection %d after one request: %v, want %v", i, got, want)
		}
	}
	for range 2 * aheadBurst {
		b.Earn()
	}
	n := 0
	for b.Spend() {
		n++
	}
	if n != aheadBurst {
		t.Errorf("%d were saved up, want %d", n, aheadBurst)
	}
}

// makeStale makes many connections stale after they were idle for so long.
func makeStale(s *staleness, idle time.Duration, now time.Time) {
	for range 3 {
		s.note(idle, now)
	}
}

// After stale connections shorter and shorter idle times are trusted, and after a
// while the usual ones again.
func TestStaleConnectionsShortenIdleTimes(t *testing.T) {
	var s staleness
	now := time.Unix(1000, 0)
	if got := s.bound(IdleLimit, now); got != IdleLimit {
		t.Errorf("none was stale, and idle times of %v count", got)
	}
	makeStale(&s, 2*time.Second, now)
	s.note(8*time.Second, now) // of another target, which keeps longer
	if got := s.bound(IdleLimit, now); got != 500*time.Millisecond {
		t.Errorf("idle times of %v count, want a quarter of the shortest", got)
	}
	if got := s.bound(100*time.Millisecond, now); got != 100*time.Millisecond {
		t.Errorf("a limit of 100 ms became %v", got)
	}
	if got := s.bound(IdleLimit, now.Add(staleFor)); got != IdleLimit {
		t.Errorf("idle times of %v count after %v, want %v", got, staleFor, IdleLimit)
	}
}

// A few stale connections among many others, such as those of targets whose
// addresses others have got, change nothing.
func TestFewStaleConnectionsChangeNothing(t *testing.T) {
	var s staleness
	now := time.Unix(1000, 0)
	for i := range 300 {
		if i%15 == 0 {
			s.note(time.Second, now)
		} else {
			s.recordUse()
		}
		if got := s.bound(IdleLimit, now); got != IdleLimit {
			t.Fatalf("idle times of %v count after %d uses, one in 15 stale", got, i+1)
		}
	}
	for range 20 { // half of the targets
		s.note(time.Second, now)
		s.recordUse()
	}
	if got := s.bound(IdleLimit, now); got == IdleLimit {
		t.Error("the usual idle times count although half of the connections were stale")
	}
}

// A reset that comes too soon for a run is of a stale connection, a later one of a failed target.
func TestStale(t *testing.T) {
	const trip = 70 * time.Millisecond
	tests := []struct {
		name   string
		reused bool
		idle   time.Duration
		after  time.Duration
		want   bool
	}{
		{"an idle connection, at once", true, time.Second, trip, true},
		{"an idle connection, after a short run", true, time.Second, trip + 72*time.Millisecond, false},
		{"an idle connection, after a long run", true, time.Second, 400 * time.Millisecond, false},
		{"a connection that was in use just now", true, 100 * time.Millisecond, trip, false},
		{"a fresh connection", false, 0, trip, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := &Pools{deps: Deps{Clock: kernel.SystemClock{}}}
			p.staleness.share = 1 // of those before
			c := &Conn{pool: p.newPool(), reused: tt.reused, idleFor: tt.idle}
			c.pool.recordOpening(2 * trip) // on a loaded VM
			c.pool.recordOpening(trip)
			if got := c.Stale(tt.after); got != tt.want {
				t.Errorf("stale: %v, want %v", got, tt.want)
			}
			if p.MostlyStale() != tt.want {
				t.Errorf("idle times are shortened: %v, want %v", p.MostlyStale(), tt.want)
			}
		})
	}
}

// While many connections are stale, those that were idle for long are not used.
func TestIdleConnectionsWhileMostAreStale(t *testing.T) {
	p := newPools(t)
	target := wholeTarget(t)
	c := get(t, p, target, 4, UseAny)
	if body, err := exchange(t.Context(), c, "GET"); err != nil || body != "ok" {
		t.Fatalf("%q, %v", body, err)
	}
	c.Keep()
	makeStale(&p.staleness, 0, time.Now())
	if again := get(t, p, target, 4, UseAny); again.reused {
		t.Error("an idle connection was used")
	}
}
