package tunnel

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"masticturn/internal/config"
	"masticturn/internal/kernel"
	"masticturn/internal/membership"
	"masticturn/internal/peer"
	"masticturn/internal/standin/network"
	"masticturn/internal/targetconn"
	"masticturn/internal/telemetry"
)

// testTunnels is how many connections a VM under test carries at most.
const testTunnels = 8

// testFleet is a number of VMs with tunnels on a network in memory, and targets that are plain listeners.
type testFleet struct {
	t       *testing.T
	net     *network.Memory
	snap    *config.Snapshot
	vms     []*testVM
	targets []network.Host

	remote string // VM in another region than the rest; empty: none

	mu   sync.Mutex
	view *membership.View
}

// testBetween is the time one way to and from the VM in another region.
const testBetween = 40 * time.Millisecond

func (f *testFleet) delay(a, b network.Host) time.Duration {
	if a.Name != b.Name && (a.Name == f.remote || b.Name == f.remote) {
		return testBetween
	}
	return time.Millisecond
}

// change replaces the members by what a function makes of a copy.
func (f *testFleet) change(do func(members []membership.Member) []membership.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view = &membership.View{Members: do(slices.Clone(f.view.Members))}
}

// testVM is one VM. It implements Announcer and Notices.
type testVM struct {
	fleet *testFleet
	host  network.Host
	peers *peer.TCP
	*Service

	dials    atomic.Int64           // connects to targets
	loopback atomic.Pointer[string] // address to which it connects instead of the targets'; nil: none
	mu       sync.Mutex
	recorded map[string]time.Duration // by target: Retry-After that was recorded
	leaving  map[string]bool          // by target
	forgiven int
	limits   map[string]float64 // by target: named to other VMs
}

func (v *testVM) View() *membership.View {
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	return v.fleet.view
}

func (v *testVM) Subscribe(func(*membership.View)) (cancel func()) { return func() {} }

func (v *testVM) SetPartitioned(partitioned bool) {
	v.fleet.change(func(members []membership.Member) []membership.Member {
		for i := range members {
			if members[i].Name == v.host.Name {
				members[i].Partitioned = partitioned
			}
		}
		return members
	})
}

func (v *testVM) Notice(target string) (leaving bool, backoff time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.leaving[target], v.recorded[target]
}

func (v *testVM) RecordNotice(target string, leaving bool, backoff time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.leaving[target], v.recorded[target] = leaving, backoff
}

func (v *testVM) RecordLimit(target string, perSecond float64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.limits[target] = perSecond
}

func (v *testVM) ForgetFailures(time.Time) { v.forgiven++ }

type fixedConfig struct{ snap *config.Snapshot }

func (c fixedConfig) Current() *config.Snapshot               { return c.snap }
func (c fixedConfig) Subscribe(func(*config.Snapshot)) func() { return func() {} }

// newTestFleet starts VMs and targets that serve each connection by a function. stop must be called within
// the bubble of synctest.
func newTestFleet(t *testing.T, vms, targets int, serve func(net.Conn)) (f *testFleet, stop func()) {
	t.Helper()
	return startTestFleet(t, vms, targets, "", serve)
}

// startTestFleet is newTestFleet with one VM in region b; the rest is in region a.
func startTestFleet(t *testing.T, vms, targets int, remote string, serve func(net.Conn)) (f *testFleet, stop func()) {
	t.Helper()
	f = &testFleet{t: t, view: &membership.View{}, remote: remote}
	f.net = network.NewMemory(f.delay)
	doc := &config.Document{
		Regions:  []config.Region{{Name: "a", Zones: []string{"a1", "a2"}}},
		Services: []config.Service{{Name: "s"}},
	}
	for i := range targets {
		h := network.Host{Name: fmt.Sprintf("t-%d", i), IP: fmt.Sprintf("10.1.0.%d", i+1)}
		f.net.Add(h)
		f.targets = append(f.targets, h)
		f.listen(h, serve)
		doc.Services[0].Targets = append(doc.Services[0].Targets, config.Target{
			Name: h.Name, Address: h.IP + ":80", Zone: []string{"a1", "a2"}[i%2], Slots: 1, Connections: 100,
		})
	}
	snap, err := config.NewSnapshot(1, doc)
	if err != nil {
		t.Fatal(err)
	}
	f.snap = snap
	for i := range vms {
		f.addVM(i)
	}
	for _, v := range f.vms {
		for _, other := range f.vms {
			v.peers.SetAddress(other.host.Name, other.host.IP+":7000")
		}
		if err := errors.Join(v.peers.Start(t.Context()), v.Start(t.Context())); err != nil {
			t.Fatal(err)
		}
	}
	return f, func() {
		for _, v := range f.vms {
			_ = v.Stop(context.Background())
			_ = v.peers.Stop(context.Background())
		}
		for _, h := range f.targets {
			f.net.End(h)
		}
		time.Sleep(time.Minute)
	}
}

func (f *testFleet) setState(number int, state membership.State) {
	f.change(func(members []membership.Member) []membership.Member {
		members[number].State = state
		return members
	})
}

func (f *testFleet) addVM(number int) {
	v := &testVM{
		fleet: f, host: network.Host{Name: fmt.Sprintf("vm-%d", number), IP: fmt.Sprintf("10.0.0.%d", number+1)},
		recorded: make(map[string]time.Duration), leaving: make(map[string]bool), limits: make(map[string]float64),
	}
	f.net.Add(v.host)
	l, err := f.net.Listen(v.host.IP + ":7000")
	if err != nil {
		f.t.Fatal(err)
	}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		v.dials.Add(1)
		if address := v.loopback.Load(); address != nil {
			return new(net.Dialer).DialContext(ctx, "tcp", *address)
		}
		return f.net.Dialer(v.host)(ctx, network, address)
	}
	if v.peers, err = peer.NewTCP(peer.Options{VM: v.host.Name, Incarnation: 1, Listener: l, DialContext: peer.DialFunc(f.net.Dialer(v.host))}); err != nil {
		f.t.Fatal(err)
	}
	region := "a"
	if v.host.Name == f.remote {
		region = "b"
	}
	v.Service = NewService(Deps{
		Self: v.host.Name, Region: region, Members: v, Config: fixedConfig{f.snap}, Streams: v.peers, Network: v.peers,
		MemoryBytes: testTunnels * carryMemoryFraction * 2 * maxChunkBytes,
		Dial:        dial, Clock: kernel.SystemClock{}, Logger: telemetry.Discard(), Metrics: metrics.NewSet(),
	})
	v.SetNotices(v)
	f.vms = append(f.vms, v)
	f.view.Members = append(f.view.Members, vm(v.host.Name, region, func(m *membership.Member) { m.Incarnation, m.Process = 1, 1 }))
}

func (f *testFleet) listen(h network.Host, serve func(net.Conn)) {
	l, err := f.net.Listen(h.IP + ":80")
	if err != nil {
		f.t.Fatal(err)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c)
			}()
		}
	}()
}

// refuse makes the targets refuse a VM's connections.
func (f *testFleet) refuse(v *testVM) {
	for _, h := range f.targets {
		f.net.Refuse(v.host, h, true)
	}
}

// dial connects a VM to a target.
func (f *testFleet) dial(v *testVM, target int) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(f.t.Context(), time.Second)
	defer cancel()
	return v.DialTarget(ctx, f.snap.Target(f.targets[target].Name), targetconn.Reach{})
}

// mustDialTunnel connects a VM to a target through another VM.
func (f *testFleet) mustDialTunnel(v *testVM, target int) *Conn {
	f.t.Helper()
	conn, err := f.dial(v, target)
	if err != nil {
		f.t.Fatal(err)
	}
	c, ok := conn.(*Conn)
	if !ok {
		f.t.Fatalf("the connection is a %T, want a tunnel", conn)
	}
	return c
}

func echo(c net.Conn) { _, _ = io.Copy(c, c) }

func TestTunnelCarriesBytesBothWays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, stop := newTestFleet(t, 2, 2, echo)
		defer stop()
		f.refuse(f.vms[0])
		c := f.mustDialTunnel(f.vms[0], 0)
		defer c.Close()
		sent := strings.Repeat("0123456789", 50_000)
		go func() { _, _ = io.WriteString(c, sent) }()
		got := make([]byte, len(sent))
		if _, err := io.ReadFull(c, got); err != nil || string(got) != sent {
			t.Errorf("%d bytes came back, %v", len(got), err)
		}
		if name, _, id := c.Carrier(); name != "vm-1" || !strings.HasPrefix(id, "vm-0-") {
			t.Errorf("carried by %s as %s", name, id)
		}
	})
}

func TestTunnelTellsACleanEndFromAReset(t *testing.T) {
	for name, tt := range map[string]struct {
		end   func(f *testFleet)
		clean bool
	}{
		"the target ends":                  {nil, true},
		"the target's machine is reset":    {func(f *testFleet) { f.net.Reset(f.vms[1].host, f.targets[0]) }, false},
		"the carrying VM ends":             {func(f *testFleet) { f.net.End(f.vms[1].host) }, false},
		"the way between the VMs is reset": {func(f *testFleet) { f.net.Reset(f.vms[0].host, f.vms[1].host) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, stop := newTestFleet(t, 2, 2, func(c net.Conn) {
					_, _ = io.WriteString(c, "answer")
					if tt.end != nil {
						time.Sleep(time.Minute)
					}
				})
				defer stop()
				f.refuse(f.vms[0])
				c := f.mustDialTunnel(f.vms[0], 0)
				defer c.Close()
				if tt.end != nil {
					time.AfterFunc(time.Second, func() { tt.end(f) })
				}
				got, err := io.ReadAll(c)
				if string(got) != "answer" || (err == nil) != tt.clean {
					t.Errorf("%q, %v, want the answer and a clean end: %v", got, err, tt.clean)
				}
			})
		})
	}
}

func TestClosedTunnelClosesTheTargetsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		closed := make(chan time.Time, 10)
		f, stop := newTestFleet(t, 2, 2, func(c net.Conn) {
			_, _ = io.Copy(io.Discard, c)
			closed <- time.Now()
		})
		defer stop()
		f.refuse(f.vms[0])
		c := f.mustDialTunnel(f.vms[0], 0)
		for len(closed) > 0 { // connections of checks
			<-closed
		}
		_ = c.Close()
		leftAt := time.Now()
		if took := (<-closed).Sub(leftAt); took > 10*time.Millisecond {
			t.Errorf("the target's connection was closed after %v", took)
		}
		time.Sleep(time.Second)
		if n := f.vms[1].originsInUse.total() + f.vms[0].carriersInUse.total(); n != 0 {
			t.Errorf("%d tunnels are counted as open", n)
		}
	})
}

// Guards against a VM that lets others connect to anything.
func TestOnlyKnownTargetsAreConnectedTo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, stop := newTestFleet(t, 2, 2, echo)
		defer stop()
		for _, r := range []OpenRequest{
			{Target: "t-0", Address: "10.1.0.2:80"}, {Target: "t-9", Address: "10.1.0.1:80"}, {}, {Target: "t-0", Address: "10.0.0.1:7000"},
		} {
			var response OpenResponse
			c, err := f.vms[0].peers.OpenStream(t.Context(), "vm-1", &r, &response)
			if err != nil || response.Result != ResultUnknown {
				t.Errorf("%+v: %v, %v", r, response.Result, err)
			}
			if c != nil {
				_ = c.Close()
			}
		}
	})
}

// Guards against partitioned VMs that ask each other, and against the end of a target that only one of them sees.
func TestPartitionedVMsDoNotAskEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, stop := newTestFleet(t, 4, 4, echo)
		defer stop()
		for _, v := range f.vms[:3] {
			f.refuse(v)
		}
		var group sync.WaitGroup
		for _, v := range f.vms[:3] {
			for target := range f.targets {
				group.Go(func() {
					c, err := f.dial(v, target)
					if err != nil {
						t.Errorf("%s to target %d: %v", v.host.Name, target, err)
						return
					}
					defer c.Close()
					if tunnel, ok := c.(*Conn); !ok || tunnel.carrier != "vm-3" {
						t.Errorf("%s to target %d: not through vm-3", v.host.Name, target)
					}
				})
			}
		}
		group.Wait()
		if f.vms[3].health.Partitioned() {
			t.Error("the VM that reaches targets takes itself to be partitioned")
		}
	})
}

// Guards against a target that has ended and is asked for through other VMs, or taken for reachable.
func TestEndOfATargetIsSeenAsSuch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, stop := newTestFleet(t, 3, 6, echo)
		defer stop()
		f.net.End(f.targets[0])
		if _, err := f.dial(f.vms[0], 0); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("one target has ended: %v", err)
		}
		for _, h := range f.targets[1:5] {
			f.net.End(h) // the last one of zone a2 is left
		}
		if _, err := f.dial(f.vms[0], 2); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("a zone has ended: %v", err)
		}
		for _, v := range f.vms {
			if v.health.Partitioned() || v.health.DetourCount() > 0 {
				t.Errorf("%s takes ended targets for its own fault", v.host.Name)
			}
		}
	})
}

func TestBusyVMCarriesNoMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, stop := newTestFleet(t, 2, 2, echo)
		defer stop()
		f.refuse(f.vms[0])
		var open []net.Conn
		for range testTunnels {
			open = append(open, f.mustDialTunnel(f.vms[0], 0))
		}
		if _, err := f.dial(f.vms[0], 1); err == nil {
			t.Error("a VM carries more connections than it may")
		}
		for _, c := range open {
			_ = c.Close()
		}
		time.Sleep(2 * avoidTime)
		f.mustDialTunnel(f.vms[0], 1)
	})
}

func TestSlowReaderHoldsTheTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		most := 0 // bytes taken from one connection
		f, stop := newTestFleet(t, 2, 2, func(c net.Conn) {
			written := 0
			for {
				n, err := c.Write(make([]byte, 64<<10))
				written += n
				mu.Lock()
				most = max(most, written)
				mu.Unlock()
				if err != nil {
					return
				}
			}
		})
		defer stop()
		f.refuse(f.vms[0])
		c := f.mustDialTunnel(f.vms[0], 0)
		defer c.Close()
		time.Sleep(time.Minute)
		mu.Lock()
		defer mu.Unlock()
		// The network holds 1 MB and a write more in each direction of the two connections.
		if most > 3<<20 {
			t.Errorf("%d bytes were taken from the target while nobody read them", most)
		}
	})
}

func TestNoticesReachAllVMsOnAWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, stop := newTestFleet(t, 4, 2, echo)
		defer stop()
		for _, v := range f.vms[:2] {
			f.refuse(v)
		}
		f.change(func(members []membership.Member) []membership.Member {
			members[3].Carries = false // so that vm-2 carries all
			return members
		})
		first, second := f.mustDialTunnel(f.vms[0], 0), f.mustDialTunnel(f.vms[1], 0)
		defer first.Close()
		defer second.Close()
		f.vms[0].ShareNotice("t-1", true, 0)
		time.Sleep(time.Second)
		for _, v := range f.vms[1:3] {
			if leaving, _ := v.Notice("t-1"); !leaving {
				t.Errorf("%s does not know what t-1 has told vm-0", v.host.Name)
			}
		}
		f.vms[2].ShareNotice("t-0", false, 3*time.Second)
		time.Sleep(time.Second)
		for _, v := range f.vms[:2] {
			if _, backoff := v.Notice("t-0"); backoff != 3*time.Second {
				t.Errorf("%s knows %v of t-0's Retry-After", v.host.Name, backoff)
			}
		}
		if leaving, backoff := f.vms[3].Notice("t-0"); leaving || backoff != 0 {
			t.Error("a VM that shares no tunnel was told")
		}
		third := f.mustDialTunnel(f.vms[0], 0) // opened after the notice
		_ = third.Close()
	})
}

func TestDrainWaitsForCarriedConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, stop := newTestFleet(t, 2, 2, echo)
		defer stop()
		f.refuse(f.vms[0])
		c := f.mustDialTunnel(f.vms[0], 0)
		if !c.Usable() {
			t.Error("a new tunnel is not usable")
		}
		f.setState(1, membership.Leaving)
		if c.Usable() {
			t.Error("a tunnel through a VM that leaves is usable")
		}
		time.AfterFunc(time.Second, func() { _ = c.Close() })
		began := time.Now()
		if err := f.vms[1].Drain(t.Context()); err != nil || time.Since(began) < time.Second {
			t.Errorf("drained after %v: %v", time.Since(began), err)
		}
		f.setState(1, membership.Alive)
		second := f.mustDialTunnel(f.vms[0], 0)
		defer second.Close()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := f.vms[1].Drain(ctx); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("a drain with an open tunnel ended with %v", err)
		}
	})
}

// Guards against checks that cost a VM with traffic anything, and one without more than a connection a second.
func TestChecksCostLittleWhileNothingIsWrong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, stop := newTestFleet(t, 2, 4, echo)
		defer stop()
		const seconds = 60
		time.Sleep(seconds * time.Second)
		if dials := f.vms[0].dials.Load(); dials == 0 || dials > seconds {
			t.Errorf("%d connects in %d s without requests, want some, and one a second at most", dials, seconds)
		}
		c, err := f.dial(f.vms[0], 0)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		f.vms[0].dials.Store(0)
		for range 5 * seconds {
			_, _ = io.WriteString(c, "x")
			_, _ = io.ReadFull(c, make([]byte, 1))
			time.Sleep(200 * time.Millisecond)
		}
		if dials := f.vms[0].dials.Load(); dials > 0 {
			t.Errorf("%d connects while targets answered", dials)
		}
		if n := f.vms[1].originsInUse.total() + int(f.vms[1].carried.Get()); n > 0 {
			t.Errorf("%d connections were carried while nothing was wrong", n)
		}
	})
}
