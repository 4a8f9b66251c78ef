package discovery

import (
	"fmt"
	"time"

	"masticturn/internal/platform"
	"masticturn/internal/telemetry"
)

// withholdingTimer ends the withholding of objects of one kind when the first of them is due.
type withholdingTimer struct {
	at    time.Time
	timer *time.Timer
}

// recordWithheld logs and counts the objects that count as deleted since a change, and schedules their end. s.mu is held.
func (s *Service) recordWithheld(c *change) {
	m := s.mirrors[c.kind]
	for _, w := range m.takeWithheld() {
		s.deps.Metrics.GetOrCreateCounter(fmt.Sprintf("masticturn_objects_withheld_total{kind=%q}", string(c.kind))).Inc()
		s.deps.Logger.Log(eventObjectWithheld, telemetry.Value("kind", string(c.kind)), telemetry.Value("name", w.name),
			telemetry.Value("version", w.version.String()), telemetry.Value("last", w.deleted.last.Version.String()),
			telemetry.Value("deleted", w.deleted.at.String()), telemetry.Value("complete", c.complete), telemetry.Value("hops", len(c.path)))
	}
	if m.policy.endsOnTime {
		s.scheduleWithheldEnd(c.kind)
	}
}

// scheduleWithheldEnd sets the timer of a kind. s.mu is held.
func (s *Service) scheduleWithheldEnd(kind platform.Kind) {
	at, ok := s.mirrors[kind].nextWithheldEnd()
	current := s.withholdingTimers[kind]
	if current != nil && ok && current.at.Equal(at) {
		return
	}
	if current != nil {
		current.timer.Stop()
		delete(s.withholdingTimers, kind)
	}
	if ok {
		wait := at.Sub(s.deps.Clock.Now())
		s.withholdingTimers[kind] = &withholdingTimer{at, time.AfterFunc(wait, func() { s.endWithholding(kind) })}
	}
}

// endWithholding lets the objects of a kind exist that no longer count as deleted.
func (s *Service) endWithholding(kind platform.Kind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isStopped() {
		return
	}
	delete(s.withholdingTimers, kind)
	m := s.mirrors[kind]
	if m.endWithholding() {
		s.applyMirror(&change{kind: kind}, m, s.deps.Clock.Now())
		s.publish()
	}
	s.scheduleWithheldEnd(kind)
}
