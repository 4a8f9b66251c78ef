package tunnel

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"masticturn/internal/membership"
	"masticturn/internal/peer"
	"masticturn/internal/targetconn"
)

func TestReadyTunnelsFollowTheDemand(t *testing.T) {
	start := time.Now()
	for name, tt := range map[string]struct {
		perSecond float64
		length    time.Duration // of the demand
		after     time.Duration // since its end
		min, max  int
	}{
		"none":                     {0, 0, 0, 0, 0},
		"one request":              {1, time.Second, 0, 1, 2},
		"4/s":                      {4, 30 * time.Second, 0, 3, 4},
		"30/s":                     {30, 30 * time.Second, 0, maxReadyPerRegion, maxReadyPerRegion},
		"a while after 4/s":        {4, 30 * time.Second, 30 * time.Second, 0, 0},
		"one request in 30 s":      {1.0 / 30, 5 * time.Minute, 0, 0, 2},
		"one, some seconds before": {1, time.Second, 10 * time.Second, 0, 0},
	} {
		r := &readyRegion{openTime: 250 * time.Millisecond}
		now := start
		for range int(tt.perSecond * tt.length.Seconds()) {
			now = now.Add(time.Duration(float64(time.Second) / tt.perSecond))
			r.recordUse(now)
		}
		if got := r.wanted(now.Add(tt.after)); got < tt.min || got > tt.max {
			t.Errorf("%s: %d tunnels wanted, want %d to %d", name, got, tt.min, tt.max)
		}
	}
}

// newRemoteFleet starts a fleet whose first VM is in another region than the rest and keeps tunnels ready.
func newRemoteFleet(t *testing.T, vms int, serve func(net.Conn)) (f *testFleet, stop func()) {
	t.Helper()
	f, stop = startTestFleet(t, vms, 2, "vm-0", serve)
	for range 2 { // the first connect measures the round trip, the second one finds that it is long
		conn, err := f.relay(targetconn.Reach{Relay: true})
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.Close()
	}
	time.Sleep(time.Second)
	return f, stop
}

// relay connects the remote VM to the first target.
func (f *testFleet) relay(r targetconn.Reach) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(f.t.Context(), time.Second)
	defer cancel()
	return f.vms[0].DialTarget(ctx, f.snap.Target(f.targets[0].Name), r)
}

// mustRelay connects the remote VM to the first target through a ready tunnel.
func (f *testFleet) mustRelay(r targetconn.Reach) *Conn {
	f.t.Helper()
	r.Relay = true
	conn, err := f.relay(r)
	if err != nil {
		f.t.Fatal(err)
	}
	c, ok := conn.(*Conn)
	if !ok || !c.Relayed() {
		f.t.Fatalf("the connection is a %T, want a ready tunnel", conn)
	}
	return c
}

func TestReadyTunnelNeedsNoRoundTrip(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		came := make(chan time.Time, 10)
		f, stop := newRemoteFleet(t, 3, func(c net.Conn) {
			if n, _ := c.Read(make([]byte, 7)); n > 0 {
				came <- time.Now()
				_, _ = io.WriteString(c, "answer")
			}
		})
		defer stop()
		started := time.Now()
		c := f.mustRelay(targetconn.Reach{})
		defer c.Close()
		if _, err := io.WriteString(c, "request"); err != nil {
			t.Fatal(err)
		}
		if took := (<-came).Sub(started); took > testBetween+10*time.Millisecond {
			t.Errorf("the request came after %v, want one way of %v", took, testBetween)
		}
		if got, err := io.ReadAll(c); string(got) != "answer" || err != nil {
			t.Errorf("%q, %v", got, err)
		}
		if c.Usable() {
			t.Error("the connection may carry a second request")
		}
	})
}

// Guards against requests that are reported as not run although a target may have them, and the reverse.
func TestReadyTunnelTellsWhetherTheTargetWasReached(t *testing.T) {
	for name, tt := range map[string]struct {
		change      func(f *testFleet)
		undelivered bool
	}{
		"the target refuses":                  {func(f *testFleet) { f.net.End(f.targets[0]) }, true},
		"the carrying VM is partitioned":      {func(f *testFleet) { f.refuse(f.vms[1]) }, true},
		"the target has told it that it ends": {func(f *testFleet) { f.vms[1].RecordNotice(f.targets[0].Name, true, 0) }, true},
		"the target has told it to wait":      {func(f *testFleet) { f.vms[1].RecordNotice(f.targets[0].Name, false, time.Second) }, true},
		"the carrying VM ends": {func(f *testFleet) {
			time.AfterFunc(testBetween/2, func() { f.net.End(f.vms[1].host) })
		}, false},
		"the way between the VMs is reset": {func(f *testFleet) {
			time.AfterFunc(testBetween+testBetween/2, func() { f.net.Reset(f.vms[0].host, f.vms[1].host) })
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, stop := newRemoteFleet(t, 2, echo)
				defer stop()
				c := f.mustRelay(targetconn.Reach{})
				defer c.Close()
				tt.change(f)
				if _, err := io.WriteString(c, "request"); err != nil {
					t.Fatal(err)
				}
				if n, err := c.Read(make([]byte, 10)); err == nil || n > 0 {
					t.Fatalf("%d bytes, %v, want an error", n, err)
				}
				if c.Undelivered() != tt.undelivered {
					t.Errorf("undelivered: %v, want %v", c.Undelivered(), tt.undelivered)
				}
			})
		})
	}
}

func TestSilentCarrierLosesItsReadyTunnels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, stop := newRemoteFleet(t, 2, echo)
		defer stop()
		f.net.Hold(f.vms[0].host, f.vms[1].host)
		defer f.net.Release(f.vms[0].host, f.vms[1].host)
		started := time.Now()
		c := f.mustRelay(targetconn.Reach{Repeatable: true})
		defer c.Close()
		<-c.Overdue()
		if took := time.Since(started); took > 2*testBetween+carrierResponseTime+10*time.Millisecond {
			t.Errorf("the carrying VM is overdue after %v", took)
		}
		if n := f.vms[0].ready.count(); n > 0 {
			t.Errorf("%d tunnels are still taken to be ready", n)
		}
		conn, err := f.relay(targetconn.Reach{Relay: true})
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if _, ok := conn.(*Conn); ok {
			t.Error("the silent VM is used once more")
		}
	})
}

// Guards against requests that are given up although the VM that carries them delivers them, only late.
func TestSlowCarrierDeliversTheRequestUnderWay(t *testing.T) {
	for _, late := range []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second} {
		for _, stopping := range []bool{false, true} {
			for _, repeatable := range []bool{false, true} {
				synctest.Test(t, func(t *testing.T) {
					f, stop := newRemoteFleet(t, 2, func(c net.Conn) {
						if n, _ := c.Read(make([]byte, 7)); n > 0 {
							_, _ = io.WriteString(c, "answer")
						}
					})
					defer stop()
					f.net.Hold(f.vms[0].host, f.vms[1].host)
					time.AfterFunc(late, func() { f.net.Release(f.vms[0].host, f.vms[1].host) })
					c := f.mustRelay(targetconn.Reach{Repeatable: repeatable})
					defer c.Close()
					if _, err := io.WriteString(c, "request"); err != nil {
						t.Fatal(err)
					}
					if stopping {
						f.setState(0, membership.Leaving)
						_ = f.vms[0].Drain(t.Context())
					}
					if got, err := io.ReadAll(c); string(got) != "answer" || err != nil {
						t.Errorf("late by %v, stopping: %v, repeatable: %v: %q, %v", late, stopping, repeatable, got, err)
					}
				})
			}
		}
	}
}

// Guards against repeatable requests that wait for a VM that is gone, and others that are given up while it may be
// frozen only.
func TestRequestThroughALostCarrierEndsOnceItIsGone(t *testing.T) {
	for name, lose := range map[string]func(f *testFleet){
		"gone": func(f *testFleet) { f.setState(1, membership.Gone) },
		"started anew": func(f *testFleet) {
			f.change(func(members []membership.Member) []membership.Member {
				members[1].Incarnation, members[1].Process = 2, 2
				return members
			})
		},
	} {
		for _, repeatable := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				f, stop := newRemoteFleet(t, 2, echo)
				defer stop()
				f.net.Hold(f.vms[0].host, f.vms[1].host)
				defer f.net.Release(f.vms[0].host, f.vms[1].host)
				c := f.mustRelay(targetconn.Reach{Repeatable: repeatable})
				defer c.Close()
				ended := make(chan struct{})
				go func() {
					_, _ = c.Read(make([]byte, 10))
					close(ended)
				}()
				<-c.Overdue()
				lose(f)
				time.Sleep(checkInterval + 10*time.Millisecond)
				synctest.Wait()
				select {
				case <-ended:
					if !repeatable {
						t.Errorf("%s: a request that must not be repeated was given up", name)
					}
				default:
					if repeatable {
						t.Errorf("%s: a repeatable request waits for the carrying VM", name)
					}
				}
			})
		}
	}
}

func TestReadyTunnelsDoNotDelayAStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, stop := newRemoteFleet(t, 2, echo)
		defer stop()
		if f.vms[0].ready.count() == 0 {
			t.Fatal("no tunnel is ready")
		}
		started := time.Now()
		if err := errors.Join(f.vms[1].Drain(t.Context()), f.vms[1].Stop(t.Context())); err != nil || time.Since(started) > time.Millisecond {
			t.Errorf("stopped after %v: %v", time.Since(started), err)
		}
		time.Sleep(time.Second)
		conn, err := f.relay(targetconn.Reach{Relay: true})
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if _, ok := conn.(*Conn); ok {
			t.Error("a tunnel of a VM that has stopped is used")
		}
	})
}

// Builds without ready tunnels take the request for one for that of an unknown target.
func TestVMsWithoutReadyTunnelsAreNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, stop := startTestFleet(t, 2, 2, "vm-0", echo)
		defer stop()
		var asked atomic.Int64
		f.vms[1].peers.HandleStreams(func(context.Context, peer.StreamPeer, []byte) (any, func(net.Conn)) {
			asked.Add(1)
			return &OpenResponse{Result: ResultUnknown}, nil
		})
		var since time.Time
		for n := range 30 {
			if n == 10 {
				asked.Store(0) // several are asked at first
				since = time.Now()
			}
			conn, err := f.relay(targetconn.Reach{Relay: true})
			if err != nil {
				t.Fatal(err)
			}
			if _, ok := conn.(*Conn); ok {
				t.Error("a ready tunnel to a VM that has none")
			}
			_ = conn.Close()
			time.Sleep(100 * time.Millisecond)
		}
		if n, took := asked.Load(), time.Since(since); n == 0 || n > int64(took/openRetryTime)+1 {
			t.Errorf("asked %d times within %v, want once in %v", n, took, openRetryTime)
		}
	})
}

func TestLimitReachesTheCarryingVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, stop := newTestFleet(t, 2, 1, echo)
		defer stop()
		f.vms[0].ShareLimit("vm-1", "t-0", 0.5)
		time.Sleep(100 * time.Millisecond)
		f.vms[1].mu.Lock()
		defer f.vms[1].mu.Unlock()
		if got, ok := f.vms[1].limits["t-0"]; !ok || got != 0.5 {
			t.Errorf("the carrying VM has %v, %v; want 0.5", got, ok)
		}
	})
}
