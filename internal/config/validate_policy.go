package config

import (
	"fmt"
	"math"
)

// fractionTolerance allows for rounding errors of decimal fractions.
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
		path := elementPath("shift_caps", i)
		v.checkUnique(seen, path, capKey(c))
		v.checkCapValues(path, c)
		known := v.checkRegion(path+".from", c.From) && v.checkRegion(path+".to", c.To)
		if known && c.MaxFraction > 0 {
			v.checkCapLink(path, c, links[regionPair{c.From, c.To}])
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
		v.report(path+".service", c.Service, "empty, or a service of the document: %s", quotedKeys(v.services))
	}
	v.checkFraction(path+".max_fraction", c.MaxFraction)
	v.checkFraction(path+".max_step_fraction", c.MaxStepFraction)
	checkRange(v, path+".window_ms", c.WindowMS, minShiftWindow, maxShiftWindow)
}

func (v *validator) checkFraction(path string, f float64) {
	if !(f >= 0 && f <= 1) || math.IsNaN(f) {
		v.report(path, f, "a fraction from 0 to 1")
	}
}

// checkCapLink reports a cap that allows traffic without a usable link to the
// destination region or without targets there.
func (v *validator) checkCapLink(path string, c *ShiftCap, link *Link) {
	switch {
	case link == nil:
		v.report(path+".max_fraction", c.MaxFraction, "0, because there is no link from %q to %q", c.From, c.To)
	case link.RequestsPerSecond == 0 || link.BytesPerSecond == 0:
		v.report(path+".max_fraction", c.MaxFraction, "0, because a limit of the link from %q to %q is 0", c.From, c.To)
	}
	if !v.hasTargets(c.To, c.Service) {
		v.report(path+".to", c.To, "a region with targets of %s", serviceText(c.Service))
	}
}

func serviceText(service string) string {
	if service == "" {
		return "some service"
	}
	return fmt.Sprintf("service %q", service)
}

func (v *validator) hasTargets(region, service string) bool {
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

// checkCapSums reports regions and services whose caps add up to more than all
// of the traffic. A cap for a specific service overrides the general cap between
// the same regions.
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

// checkTimes checks the settings of look-ups and draining. The drain grace period
// must cover callers that have cached a look-up answer, plus the longest request.
func (v *validator) checkTimes() {
	l, d := v.doc.Lookup, v.doc.Drain
	checkRange(v, "lookup.answers", l.Answers, 1, maxLookupAnswers)
	checkRange(v, "lookup.max_age_ms", l.MaxAgeMS, 1, maxLookupAge)
	checkRange(v, "drain.grace_ms", d.GraceMS, 1, maxMillis)
	checkRange(v, "drain.target_quiet_ms", d.TargetQuietMS, 1, maxTargetQuiet)
	longest := v.longestTimeout()
	if d.GraceMS < l.MaxAgeMS+longest {
		v.report("drain.grace_ms", d.GraceMS,
			"at least the sum of lookup.max_age_ms (%d) and the longest request timeout (%d)", l.MaxAgeMS, longest)
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
	checkRange(v, "limits.max_header_bytes", l.MaxHeaderBytes, 1<<10, 1<<20)
	checkRange(v, "limits.max_body_bytes", l.MaxBodyBytes, 1, maxBytes)
	checkRange(v, "limits.header_timeout_ms", l.HeaderTimeoutMS, 1, maxTimeout)
	checkRange(v, "limits.idle_timeout_ms", l.IdleTimeoutMS, 1, maxTimeout)
	checkRange(v, "limits.max_connections_per_address", l.MaxConnectionsPerAddr, 1, maxConnections)
	checkRange(v, "limits.replay_body_bytes", l.ReplayBodyBytes, 0, 16<<20)
	checkRange(v, "limits.recorded_answer_bytes", l.RecordedAnswerBytes, 1, maxBytes)
	checkRange(v, "limits.recorded_answers_bytes", l.RecordedAnswersBytes, 1, maxBytes)
	checkRange(v, "limits.recorded_answers_ms", l.RecordedAnswersMS, 1, maxMillis)
	if l.RecordedAnswerBytes > l.RecordedAnswersBytes {
		v.report("limits.recorded_answer_bytes", l.RecordedAnswerBytes,
			"at most recorded_answers_bytes (%d), which limits the total", l.RecordedAnswersBytes)
	}
}

func (v *validator) checkRetry() {
	r := v.doc.Retry
	checkRange(v, "retry.max_attempts", r.MaxAttempts, 1, maxAttempts)
	v.checkFraction("retry.budget_fraction", r.BudgetFraction)
	checkRange(v, "retry.backoff_ms", r.BackoffMS, 1, maxTimeout)
	checkRange(v, "retry.hedge_after_ms", r.HedgeAfterMS, 0, maxTimeout)
}

func (v *validator) checkSteering() {
	s := v.doc.Steering
	if s.Policy != "" {
		v.checkName("steering.policy", s.Policy)
	}
	v.checkFraction("steering.headroom_weight", s.HeadroomWeight)
	v.checkFraction("steering.headroom_keep", s.HeadroomKeep)
	checkRange(v, "steering.stale_ms", s.StaleMS, 1, maxTimeout)
	checkRange(v, "steering.probe_ms", s.ProbeMS, minProbe, maxTimeout)
	checkRange(v, "steering.cold_ms", s.ColdMS, 1, maxTimeout)
	if s.ProbeMS >= s.StaleMS {
		v.report("steering.probe_ms", s.ProbeMS, "less than stale_ms (%d); otherwise measurements become stale between probes", s.StaleMS)
	}
}
