package membership

import (
	"context"
	"encoding/json"
	"time"

	"masticturn/internal/edge"
	"masticturn/internal/platform"
	"masticturn/internal/telemetry"
)

// Intervals of the reads of the platform's list of VMs. Only a joining daemon
// and the relays read it, so that the calls do not grow with the fleet.
const (
	hintsIntervalJoining = time.Second
	hintsInterval        = 30 * time.Second
	hintsTimeout         = 2 * time.Second
)

// pollHints reads the list of VMs while this daemon joins or is a relay.
func (s *Service) pollHints() {
	for {
		if !s.Ready() || s.isRelay() {
			s.readHints()
		}
		wait := hintsInterval
		if !s.Ready() {
			wait = hintsIntervalJoining
		}
		select {
		case <-s.ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

func (s *Service) isRelay() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.currentTopology().relay
}

func (s *Service) readHints() {
	ctx, cancel := context.WithTimeout(s.ctx, hintsTimeout)
	defer cancel()
	objects, _, err := s.cfg.Store.List(ctx, platform.KindVM)
	if err != nil {
		s.cfg.Logger.Log(eventHintsFailed, telemetry.Err(err))
		return
	}
	s.mu.Lock()
	s.hints = candidatesOf(objects)
	s.mu.Unlock()
	s.setCandidates()
}

// candidatesOf returns the VMs of the list that are not leaving. Records that
// cannot be read are passed over: the list is a hint.
func candidatesOf(objects []platform.Object) []Candidate {
	var out []Candidate
	for _, o := range objects {
		var r edge.VMRecord
		if err := json.Unmarshal(o.Value, &r); err != nil || r.PeerAddress == "" || r.Leaving {
			continue
		}
		out = append(out, Candidate{Name: r.Name, Address: r.PeerAddress})
	}
	return out
}

// setCandidates gives seeds and hints to the machine.
func (s *Service) setCandidates() {
	s.mu.Lock()
	defer s.mu.Unlock()
	candidates := make([]Candidate, 0, len(s.cfg.Seeds)+len(s.hints))
	for _, address := range s.cfg.Seeds {
		candidates = append(candidates, Candidate{Address: address})
	}
	s.machine.SetCandidates(append(candidates, s.hints...))
}
