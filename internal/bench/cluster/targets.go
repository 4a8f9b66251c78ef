package cluster

import (
	"encoding/json"
	"time"

	"github.com/gravitational/trace"

	"masticturn/internal/config"
	"masticturn/internal/edge"
	"masticturn/internal/platform"
	"masticturn/internal/standin"
	"masticturn/internal/standin/network"
	"masticturn/internal/standin/target"
)

// Target is a target of the cluster.
type Target struct {
	*target.Target
	Host    network.Host
	Service string
	Region  string
	Slots   int
	Limit   int            // connections it takes, over all VMs
	Gauge   *standin.Gauge // concurrency offered to it alone
}

func (c *Cluster) startTargets() error {
	regions := make(map[string]string)
	for _, r := range c.Document.Regions {
		c.Regions[r.Name] = standin.NewGauge(0)
		for _, z := range r.Zones {
			regions[z] = r.Name
		}
	}
	for i := range c.Document.Services {
		svc := &c.Document.Services[i]
		for j := range svc.Targets {
			if err := c.startTarget(svc, &svc.Targets[j], regions[svc.Targets[j].Zone], c.plan.ip(groupTarget+i, j+1)); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *Cluster) startTarget(svc *config.Service, doc *config.Target, region, ip string) error {
	gauge := standin.NewGauge(doc.Slots)
	c.Regions[region].AddCapacity(doc.Slots)
	service, cold := svc.ServiceMS.Duration(), c.Document.Steering.ColdMS.Duration()
	if c.opts.Instant {
		service, cold = 0, 0
	}
	started, err := target.Start(target.Options{
		Name:       doc.Name,
		Address:    doc.Address,
		Slots:      doc.Slots,
		QueueLimit: c.opts.QueueLimit,
		Service:    service,
		Sigma:      c.opts.Sigma,
		ColdFactor: c.opts.ColdFactor,
		ColdFor:    cold,
		Warm:       c.opts.Warm,
		Seed:       c.opts.Seed + uint64(len(c.Targets)),
		Log:        c.Log,
		Gauges:     []*standin.Gauge{gauge, c.Regions[region]},
	})
	if err != nil {
		return err
	}
	t := &Target{
		Target:  started,
		Host:    network.Host{Name: doc.Name, Zone: doc.Zone, IP: ip},
		Service: svc.Name,
		Region:  region,
		Slots:   doc.Slots,
		Limit:   doc.Connections,
		Gauge:   gauge,
	}
	c.Network.Add(t.Host)
	c.Targets = append(c.Targets, t)
	c.Services[svc.Name] = append(c.Services[svc.Name], t)
	return nil
}

// OverConnected returns the targets that had more connections open at once
// than they take.
func (c *Cluster) OverConnected() []string {
	var names []string
	for _, t := range c.Targets {
		if t.HighConnections() > t.Limit {
			names = append(names, t.Name())
		}
	}
	return names
}

// KillTarget ends a target at once; its slots no longer count as capacity.
func (c *Cluster) KillTarget(t *Target) error {
	c.note(Event{What: TargetKilled, Target: t.Name()})
	c.Network.Down(t.Host)
	c.Regions[t.Region].AddCapacity(-t.Slots)
	return t.Kill()
}

// RestartTarget starts a killed target, with cold caches.
func (c *Cluster) RestartTarget(t *Target) error {
	c.Network.Up(t.Host)
	if err := t.Restart(); err != nil {
		return err
	}
	c.Regions[t.Region].AddCapacity(t.Slots)
	c.note(Event{What: TargetRestarted, Target: t.Name()})
	return nil
}

// DrainTarget lets a target say that it leaves, or that it is back.
func (c *Cluster) DrainTarget(t *Target, on bool) {
	what := TargetLeaves
	if !on {
		what = TargetReturns
	}
	c.note(Event{What: what, Target: t.Name()})
	t.SetDraining(on)
}

// listVM puts a VM into the platform's list.
func (c *Cluster) listVM(vm *VM) error {
	record := edge.VMRecord{
		Name:          vm.Host.Name,
		Zone:          vm.Host.Zone,
		PeerAddress:   vm.Settings.Listen.Peers,
		CallerAddress: vm.Settings.Listen.Callers,
	}
	value, err := json.Marshal(record)
	if err != nil {
		return trace.Wrap(err)
	}
	c.Store.Put(platform.KindVM, record.Name, value)
	return nil
}

// unlistAfter removes a VM from the platform's list, which lags.
func (c *Cluster) unlistAfter(vm *VM, lag time.Duration) {
	time.AfterFunc(lag, func() {
		if !vm.Running() {
			c.Store.Remove(platform.KindVM, vm.Host.Name)
		}
	})
}
