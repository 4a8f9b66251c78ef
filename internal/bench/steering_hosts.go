package bench

import "masticturn/internal/standin/network"

// across calls f for each ordered pair of a host of the event's region and one
// of another region, VMs and targets alike.
func (l *steeringLoad) across(f func(from, to network.Host)) {
	var inside, outside []network.Host
	add := func(h network.Host, region string) {
		if region == l.region {
			inside = append(inside, h)
		} else {
			outside = append(outside, h)
		}
	}
	for _, vm := range l.cluster.VMs {
		add(vm.Host, vm.Settings.VM.Region)
	}
	for _, t := range l.cluster.Targets {
		add(t.Host, t.Region)
	}
	for _, a := range inside {
		for _, b := range outside {
			f(a, b)
			f(b, a)
		}
	}
}
