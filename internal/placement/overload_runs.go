package placement

import "time"

// guessedObjectiveRuns is the number of run times that are assumed to fit the objective of a request
// whose class has no measurement. Without a guess the first second of a load would count as no demand.
const guessedObjectiveRuns = 3

// classRuns holds the mean run times by class, from which demand is computed. They include the runs of
// objects that targets did not have in their caches.
type classRuns struct {
	byClass map[string]*classRun
}

// classRun is the mean run time of a class.
type classRun struct {
	mean movingAverage
	// bound reports that all runs so far may have waited at their targets.
	bound bool
}

// boundWeight is the weight of a run that may have waited, if it took less than the mean. It exceeds
// meanWeight, as such a run took even less time than its latency.
const boundWeight = 0.3

// longerWeight is the weight of a run that took longer than the mean. It is less than meanWeight, as some
// of these runs have waited behind requests that this VM does not know of.
const longerWeight = 0.03

// recordClassRun records the run time of a request, without the work factor that the target reported with
// the answer.
func (p *Pool) recordClassRun(sel *Selection, r *Result, now time.Time) {
	if p.overload.gate == nil {
		return
	}
	d := max(r.Latency-time.Duration(p.roundTrips[sel.target.Region]), time.Millisecond)
	waited := sel.spare < minSpareSlots || r.Load != nil && r.Load.Waiting > 0
	p.overload.runs.observe(sel.class, waited, time.Duration(float64(d)/sel.target.workFactor.at(now)))
}

// observe records a run. The time of one that may have waited at its target is only an upper bound, and
// is used as long as there is nothing better.
func (c *classRuns) observe(class string, waited bool, d time.Duration) {
	r := c.byClass[class]
	switch {
	case r == nil:
		if len(c.byClass) >= maxClasses {
			clear(c.byClass)
		}
		c.byClass[class] = &classRun{movingAverage(d), waited}
	case !waited && r.bound:
		*r = classRun{mean: movingAverage(d)}
	case !waited && d > time.Duration(r.mean):
		r.mean += movingAverage(longerWeight * float64(movingAverage(d)-r.mean))
	case !waited:
		r.mean.observe(d)
	case r.bound && d < time.Duration(r.mean):
		r.mean += movingAverage(boundWeight * float64(movingAverage(d)-r.mean))
	}
}

// expect returns the run time to expect of a request.
func (c *classRuns) expect(req *Request) time.Duration {
	if r := c.byClass[req.Class]; r != nil {
		return time.Duration(r.mean)
	}
	if req.Rule == nil {
		return 0
	}
	return req.Rule.ObjectiveMS.Duration() / guessedObjectiveRuns
}
