// Package targetlimit keeps the requests of all VMs to a target within the rate limit that the
// target names in its responses.
package targetlimit

import "time"

// Limit is what a response says of its target's rate limit.
type Limit struct {
	Named     bool    // false: the target has no limit
	PerSecond float64 // requests/s that the target takes from all VMs together
}

// observation is what is known of a target's limit. It was true at some time between since and at,
// on the boot clock: for a response, from the sending of its request to its arrival.
type observation struct {
	limit     Limit
	since, at time.Duration
}

// merge returns what is known after another observation. The later one holds. If they overlap, their
// order is unknown, and the stricter one holds.
func (o observation) merge(other observation) observation {
	switch {
	case other.since > o.at:
		return other
	case !other.limit.Named || other.at < o.since:
		return o
	case !o.limit.Named || other.limit.PerSecond <= o.limit.PerSecond:
		other.at = max(other.at, o.at)
		return other
	}
	return o
}
