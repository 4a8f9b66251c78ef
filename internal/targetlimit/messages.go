package targetlimit

import "time"

// ask is the request of peer.KindTargetTokens, which a VM sends to the granter of a target's tokens.
type ask struct {
	Target string // name of the instance
	Region string // of the target
	Want   int    // tokens wanted; 0: the ask only returns some or reports the limit
	Unused int    // tokens of the last response that were not used
	Known  report
}

// grant is the response to an ask. Its tokens are valid for tokenTTL from the sending of the ask.
type grant struct {
	Tokens int
	WaitMS uint32 // until the VM may ask again
	Known  report
}

// report is an observation in a message, with its age as clocks differ.
type report struct {
	Named      bool
	PerSecond  float64
	SinceAgeMS uint32 // age of observation.since
	AgeMS      uint32 // age of observation.at; at most SinceAgeMS
}

// maxLatency is the longest time that a message is assumed to be under way.
const maxLatency = 250 * time.Millisecond

// maxAge bounds the age in a report.
const maxAge = time.Hour

func (o *observation) report(now time.Duration) report {
	return report{
		Named: o.limit.Named, PerSecond: o.limit.PerSecond,
		SinceAgeMS: ageMS(now - o.since), AgeMS: ageMS(now - o.at),
	}
}

func ageMS(age time.Duration) uint32 { return uint32(min(max(age, 0), maxAge).Milliseconds()) }

// observation returns the observation that a report made now tells of. Its times are uncertain by the
// time that the message was under way.
func (r *report) observation(now time.Duration) observation {
	return observation{
		limit: Limit{Named: r.Named, PerSecond: max(r.PerSecond, 0)},
		since: now - time.Duration(r.SinceAgeMS)*time.Millisecond - maxLatency,
		at:    now - time.Duration(r.AgeMS)*time.Millisecond,
	}
}
