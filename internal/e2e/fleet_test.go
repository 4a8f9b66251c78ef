package e2e

import (
	"context"
	"sync"
	"syscall"
	"testing"
	"time"

	"masticturn/examples"
	"masticturn/internal/bench"
	"masticturn/internal/bench/cluster"
	"masticturn/internal/config"
	"masticturn/internal/standin/caller"
	"masticturn/platform/storestandin"
)

const (
	fleetVMs    = 6
	fleetRate   = 120 // requests a second
	readyWithin = 30 * time.Second
	pause       = 1500 * time.Millisecond
	maxAge      = 500 // milliseconds that look-ups may be cached
)

// TestFleetOfProcesses serves callers while daemons, as processes, are paused,
// drained, killed and started again, in part with the platform down, and
// checks the promises at callers and targets.
func TestFleetOfProcesses(t *testing.T) {
	procs := newProcesses(t)
	c := startFleet(t, procs)
	defer c.Close()
	load, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		runLoad(t, load, c)
	}()
	letRun()

	steps := []struct {
		name string
		do   func(t *testing.T)
	}{
		{"pause and wake", func(t *testing.T) {
			procs.signal(t, c.VMs[0].Host.Name, syscall.SIGSTOP)
			letRun()
			procs.signal(t, c.VMs[0].Host.Name, syscall.SIGCONT)
		}},
		{"platform goes down", func(*testing.T) { c.Platform.SetMode(storestandin.Disconnect) }},
		{"drain", func(t *testing.T) { must(t, c.VMs[1].Drain(t.Context())) }},
		{"kill", func(*testing.T) { c.VMs[2].Kill() }},
		{"start again without the platform", func(t *testing.T) { startVM(t, c.VMs[2]) }},
		{"platform comes back", func(*testing.T) { c.Platform.SetMode(storestandin.Normal) }},
		{"start again after the drain", func(t *testing.T) { startVM(t, c.VMs[1]) }},
	}
	for _, s := range steps {
		t.Log(s.name)
		s.do(t)
		letRun()
	}
	stop()
	<-done

	report := c.Check()
	if report.Total != 0 {
		t.Errorf("broken promises: %+v", report)
	}
	answered := 0
	for _, r := range c.Notes.Results() {
		answered += r.Answered
	}
	if answered == 0 {
		t.Error("nothing was answered")
	}
	t.Logf("%d answered of %d tries", answered, len(c.Notes.Tries()))
	drainAll(t, c)
}

// drainAll stops all VMs at once, as at the end of a deployment.
func drainAll(t *testing.T, c *cluster.Cluster) {
	var group sync.WaitGroup
	for _, vm := range c.VMs {
		group.Go(func() {
			if err := vm.Drain(t.Context()); err != nil {
				t.Errorf("drain of %s: %v", vm.Host.Name, err)
			}
		})
	}
	group.Wait()
}

// letRun gives the load time between steps. Nothing is asserted about it.
func letRun() { time.Sleep(pause) }

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Error(err)
	}
}

func startFleet(t *testing.T, procs *processes) *cluster.Cluster {
	t.Helper()
	text, ok := examples.Document("estiba")
	if !ok {
		t.Fatal("no example")
	}
	doc, err := config.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	doc.Lookup.MaxAgeMS = maxAge
	ctx, cancel := context.WithTimeout(t.Context(), readyWithin)
	defer cancel()
	c, err := cluster.New(ctx, cluster.Options{
		Document:   doc,
		Start:      procs.start,
		VMs:        fleetVMs,
		Seed:       1,
		Sigma:      cluster.DefaultSigma,
		QueueLimit: cluster.DefaultQueueLimit,
		KeepLogs:   true,
		Direct:     true,
	})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func startVM(t *testing.T, vm *cluster.VM) {
	t.Helper()
	must(t, vm.Start(t.Context()))
	ctx, cancel := context.WithTimeout(t.Context(), readyWithin)
	defer cancel()
	must(t, vm.WaitReady(ctx))
}

// runLoad sends the mix of all services until the context is done.
func runLoad(t *testing.T, ctx context.Context, c *cluster.Cluster) {
	snap, err := config.NewSnapshot(1, c.Document)
	if err != nil {
		t.Error(err)
		return
	}
	cluster.RunCallers(ctx, c.Callers(caller.Options{
		Shapes:   bench.Mix(snap),
		Rate:     fleetRate,
		MaxTries: 3,
		Timeout:  10 * time.Second,
	}))
}
