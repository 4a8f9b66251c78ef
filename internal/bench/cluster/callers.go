package cluster

import (
	"context"
	"sync"

	"masticturn/internal/standin/caller"
	"masticturn/internal/standin/network"
)

// Callers returns a caller for each availability zone, all with the same
// shapes; the rate is that of all of them together. Changes are made to the
// options of each caller, by its number.
func (c *Cluster) Callers(opts caller.Options, changes ...func(number int, opts *caller.Options)) []*caller.Caller {
	zones := zonesOf(c.Document)
	opts.Rate /= float64(len(zones))
	var callers []*caller.Caller
	for i, z := range zones {
		own := opts
		for _, change := range changes {
			change(i, &own)
		}
		callers = append(callers, c.callerOf(i, z, own))
	}
	return callers
}

// callerOf returns the caller of one availability zone. It asks the VMs of
// all zones for look-ups, its own zone's first.
func (c *Cluster) callerOf(index int, z zone, opts caller.Options) *caller.Caller {
	host := c.callerHost(index, z)
	c.Network.Add(host)
	opts.Name = opts.Prefix + host.Name
	opts.LocalAddress = host.IP
	opts.Seed = c.opts.Seed + uint64(index)
	opts.Notes = c.Notes
	opts.Dial = c.dialer(host)
	opts.Entries = c.entries(index)
	return caller.New(opts)
}

// entries lists the VMs' addresses beginning with the one at an index.
func (c *Cluster) entries(first int) []string {
	var entries []string
	for i := range c.VMs {
		entries = append(entries, c.VMs[(first+i)%len(c.VMs)].Settings.Listen.Callers)
	}
	return entries
}

// RunCallers runs the callers until the context ends, and waits for the
// requests that are open then.
func RunCallers(ctx context.Context, callers []*caller.Caller) {
	var group sync.WaitGroup
	for _, one := range callers {
		group.Go(func() { one.Run(ctx, 0) })
	}
	group.Wait()
}

func (c *Cluster) callerHost(index int, z zone) network.Host {
	return network.Host{Name: "caller-" + z.name, Zone: callerZone(z), IP: c.plan.ip(groupCaller+index, 1)}
}

// CallerHosts returns the hosts of the callers.
func (c *Cluster) CallerHosts() []network.Host {
	var hosts []network.Host
	for i, z := range zonesOf(c.Document) {
		hosts = append(hosts, c.callerHost(i, z))
	}
	return hosts
}
