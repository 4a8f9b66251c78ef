package admission

import "masticturn/internal/measure"

// observe passes on a target's own word about its load and its leaving.
func observe(targets measure.Source, target string, r Result) {
	if !r.ShedByPeer && !r.Draining && r.InFlight < 0 {
		return
	}
	targets.Observe(measure.Observation{
		Target:   target,
		Draining: r.Draining,
		Shed:     r.ShedByPeer,
		InFlight: r.InFlight,
	})
}
