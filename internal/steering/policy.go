package steering

// PolicyName names a policy of target choice.
type PolicyName string

// The policies. Broker is the default; the others decide in each VM and are
// there to be compared with.
const (
	PolicyBroker      PolicyName = "broker"       // one pooled queue per service and region
	PolicyRandom      PolicyName = "random"       // any target of the region
	PolicyP2C         PolicyName = "p2c"          // the better of two by reported load and own permits
	PolicyStaticSpill PolicyName = "static-spill" // p2c; above a threshold fixed parts go elsewhere
	PolicySubset      PolicyName = "subset"       // least loaded of a rendezvous subset
)

// Policies lists all policies.
func Policies() []PolicyName {
	return []PolicyName{PolicyBroker, PolicyRandom, PolicyP2C, PolicyStaticSpill, PolicySubset}
}

// Static spill: above spillThreshold of the slots in use, spillPart of the
// requests are sent to other regions.
const (
	spillThreshold = 0.8
	spillPart      = 0.2
)

// pick chooses a free target of this region by the policy, nil when none is.
func (p *Pool) pick(r *Request) *Target {
	switch p.cfg.Policy {
	case PolicyRandom:
		return p.pickRandom(r)
	case PolicyP2C, PolicyStaticSpill:
		return p.pickP2C(r)
	default:
		return p.local.least(r.Zone, r.Exclude, p.rng)
	}
}

// pickRandom takes any target; one on which this VM holds all slots is passed
// over for the next one.
func (p *Pool) pickRandom(r *Request) *Target {
	n := len(p.local.targets)
	if n == 0 {
		return nil
	}
	first := p.rng.IntN(n)
	for i := range n {
		t := p.local.targets[(first+i)%n]
		if t.free() && !contains(r.Exclude, t.Name) {
			return t
		}
	}
	return nil
}

func (p *Pool) pickP2C(r *Request) *Target {
	a := p.pickRandom(r)
	b := p.pickRandom(r)
	if a == nil || b == nil || a.load() <= b.load() {
		return a
	}
	return b
}

// load is the believed load: what the target reported, and never less than
// the permits this pool has out.
func (t *Target) load() float64 {
	return float64(max(t.inFlight, t.reported)) / float64(max(t.limit, 1))
}

// Reported returns the load that the target reported, 0 when it is not known.
func (t *Target) Reported() int { return t.reported }

// SetReported sets the load that a target reported; 0 when it is not known.
func (t *Target) SetReported(n int) { t.reported = n }

// placeStatic spills a fixed part of the requests above the threshold.
func (p *Pool) placeStatic(r *Request) bool {
	if p.cfg.Policy != PolicyStaticSpill || p.believedUtilisation() < spillThreshold {
		return false
	}
	if p.rng.Float64() >= spillPart {
		return false
	}
	for _, i := range p.rng.Perm(len(p.remotes)) {
		if p.placeAt(p.remotes[i], r) {
			return true
		}
	}
	return false
}

func (p *Pool) believedUtilisation() float64 {
	var load, limit int
	for _, t := range p.local.targets {
		load += min(max(t.inFlight, t.reported), t.limit)
		limit += t.limit
	}
	if limit == 0 {
		return 1
	}
	return float64(load) / float64(limit)
}
