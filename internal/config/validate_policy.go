package config

import (
	"fmt"
	"math"
)

// fractionTolerance allows for the rounding of fractions written in decimal.
const fractionTolerance = 1e-9

func (v *validator) checkShiftCaps() {
	links := make(map[regionPair]*Link, len(v.doc.Links))
	for i := range v.doc.Links {
		l := &v.doc.Links[i]
		links[regionPair{l.From, l.To}] = l
	}
	seen := make(map[string]string)
	for i := range v.doc.ShiftCaps {
		c := &v.doc.ShiftCaps[i]
		path := at("shift_caps", i)
		v.unique(seen, path, capKey(c))
		v.checkCapValues(path, c)
		known := v.knownRegion(path+".from", c.From) && v.knownRegion(path+".to", c.To)
		if known && c.MaxFraction > 0 {
			v.checkCapWay(path, c, links[regionPair{c.From, c.To}])
		}
	}
	v.checkCapSums()
}

func capKey(c *ShiftCap) string {
	key := c.From + "→" + c.To
	if c.Service != "" {
		key += " " + c.Service
	}
	return key
}

func (v *validator) checkCapValues(path string, c *ShiftCap) {
	if c.From == c.To {
		v.report(path+".to", c.To, "a region other than from")
	}
	if c.Service != "" && v.services[c.Service] == nil {
		v.report(path+".service", c.Service, "empty, or a service of the document: %s", keysOf(v.services))
	}
	v.fraction(path+".max_fraction", c.MaxFraction)
	v.fraction(path+".max_step_fraction", c.MaxStepFraction)
	inRange(v, path+".window_ms", c.WindowMS, minShiftWindow, maxShiftWindow)
}

func (v *validator) fraction(path string, f float64) {
	if !(f >= 0 && f <= 1) || math.IsNaN(f) {
		v.report(path, f, "a fraction of 0 to 1")
	}
}

// checkCapWay reports a cap that allows a shift which no link carries or no
// target can take.
func (v *validator) checkCapWay(path string, c *ShiftCap, link *Link) {
	switch {
	case link == nil:
		v.report(path+".max_fraction", c.MaxFraction, "0, because there is no link from %q to %q", c.From, c.To)
	case link.RequestsPerSecond == 0 || link.BytesPerSecond == 0:
		v.report(path+".max_fraction", c.MaxFraction, "0, because the link from %q to %q carries nothing", c.From, c.To)
	}
	if !v.servedIn(c.To, c.Service) {
		v.report(path+".to", c.To, "a region with targets of %s", serviceText(c.Service))
	}
}

func serviceText(service string) string {
	if service == "" {
		return "some service"
	}
	return fmt.Sprintf("service %q", service)
}

func (v *validator) servedIn(region, service string) bool {
	for i := range v.doc.Services {
		s := &v.doc.Services[i]
		if service != "" && s.Name != service {
			continue
		}
		for j := range s.Targets {
			if v.regionOfZone[s.Targets[j].Zone] == region {
				return true
			}
		}
	}
	return false
}

// checkCapSums reports a region and service whose caps together allow more
// than all of the traffic to leave. A cap for one service replaces the cap
// for each service on the same way.
func (v *validator) checkCapSums() {
	for _, r := range v.doc.Regions {
		for i := range v.doc.Services {
			sum := v.capSum(r.Name, v.doc.Services[i].Name)
			if sum > 1+fractionTolerance {
				v.report("shift_caps", sum, "at most 1 as the sum of max_fraction from %q for service %q",
					r.Name, v.doc.Services[i].Name)
			}
		}
	}
}

func (v *validator) capSum(from, service string) float64 {
	byRegion := make(map[string]float64)
	own := make(map[string]bool)
	for i := range v.doc.ShiftCaps {
		c := &v.doc.ShiftCaps[i]
		if c.From != from || (c.Service != "" && c.Service != service) || own[c.To] {
			continue
		}
		byRegion[c.To] = c.MaxFraction
		own[c.To] = c.Service != ""
	}
	sum := 0.0
	for _, fraction := range byRegion {
		sum += fraction
	}
	return sum
}

// checkTimes checks look-ups and drains, and that a planned stop lasts long
// enough for callers that have cached a look-up and for the longest request.
func (v *validator) checkTimes() {
	l, d := v.doc.Lookup, v.doc.Drain
	inRange(v, "lookup.answers", l.Answers, 1, maxLookupAnswers)
	inRange(v, "lookup.max_age_ms", l.MaxAgeMS, 1, maxLookupAge)
	inRange(v, "drain.grace_ms", d.GraceMS, 1, maxMillis)
	inRange(v, "drain.target_quiet_ms", d.TargetQuietMS, 1, maxTargetQuiet)
	longest := v.longestTimeout()
	if d.GraceMS < l.MaxAgeMS+longest {
		v.report("drain.grace_ms", d.GraceMS,
			"at least lookup.max_age_ms (%d) and the longest timeout of a request (%d) together", l.MaxAgeMS, longest)
	}
}

func (v *validator) longestTimeout() Millis {
	var longest Millis
	for i := range v.doc.Services {
		for _, r := range v.doc.Services[i].Routes {
			timeout := r.TimeoutMS
			if class := v.classes[r.Class]; timeout == 0 && class != nil {
				timeout = class.TimeoutMS
			}
			longest = max(longest, timeout)
		}
	}
	return longest
}

func (v *validator) checkLimits() {
	l := v.doc.Limits
	inRange(v, "limits.max_header_bytes", l.MaxHeaderBytes, 1<<10, 1<<20)
	inRange(v, "limits.max_body_bytes", l.MaxBodyBytes, 1, maxBytes)
	inRange(v, "limits.header_timeout_ms", l.HeaderTimeoutMS, 1, maxTimeout)
	inRange(v, "limits.idle_timeout_ms", l.IdleTimeoutMS, 1, maxTimeout)
	inRange(v, "limits.max_connections_per_address", l.MaxConnectionsPerAddr, 1, maxConnections)
	inRange(v, "limits.replay_body_bytes", l.ReplayBodyBytes, 0, 16<<20)
	inRange(v, "limits.recorded_answer_bytes", l.RecordedAnswerBytes, 1, maxBytes)
	inRange(v, "limits.recorded_answers_bytes", l.RecordedAnswersBytes, 1, maxBytes)
	inRange(v, "limits.recorded_answers_ms", l.RecordedAnswersMS, 1, maxMillis)
	if l.RecordedAnswerBytes > l.RecordedAnswersBytes {
		v.report("limits.recorded_answer_bytes", l.RecordedAnswerBytes,
			"at most recorded_answers_bytes (%d), of which it is a part", l.RecordedAnswersBytes)
	}
}

func (v *validator) checkRetry() {
	r := v.doc.Retry
	inRange(v, "retry.max_attempts", r.MaxAttempts, 1, maxAttempts)
	v.fraction("retry.budget_fraction", r.BudgetFraction)
	inRange(v, "retry.backoff_ms", r.BackoffMS, 1, maxTimeout)
	inRange(v, "retry.hedge_after_ms", r.HedgeAfterMS, 0, maxTimeout)
}

func (v *validator) checkSteering() {
	s := v.doc.Steering
	if s.Policy != "" {
		v.name("steering.policy", s.Policy)
	}
	v.fraction("steering.headroom_weight", s.HeadroomWeight)
	v.fraction("steering.headroom_keep", s.HeadroomKeep)
	inRange(v, "steering.stale_ms", s.StaleMS, 1, maxTimeout)
	inRange(v, "steering.probe_ms", s.ProbeMS, minProbe, maxTimeout)
	inRange(v, "steering.cold_ms", s.ColdMS, 1, maxTimeout)
	if s.ProbeMS >= s.StaleMS {
		v.report("steering.probe_ms", s.ProbeMS, "less than stale_ms (%d), or every measurement is stale", s.StaleMS)
	}
}
