package membership

import (
	"context"
	"encoding/json"
	"net"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"masticturn/internal/edge"
	"masticturn/internal/platform"
	"masticturn/internal/telemetry"
)

// Intervals of reads of the platform's list of VMs. Only joining daemons and relays read it, so
// that the calls do not grow with the fleet.
const (
	hintsIntervalJoining = time.Second
	hintsInterval        = 30 * time.Second
	hintsTimeout         = 2 * time.Second
)

// pollHints reads the list of VMs while this daemon joins or is a relay.
func (s *Service) pollHints() {
	if len(s.cfg.Seeds) > 0 && !s.pause(hintsIntervalJoining) {
		return
	}
	for {
		if !s.Ready() || s.isRelay() {
			s.readHints()
		}
		wait := hintsInterval
		if !s.Ready() {
			wait = hintsIntervalJoining
		}
		if !s.pause(wait) {
			return
		}
	}
}

// pause waits; false if the service ends.
func (s *Service) pause(d time.Duration) bool {
	select {
	case <-s.ctx.Done():
		return false
	case <-time.After(d):
		return true
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
	candidates, faults := candidatesOf(objects)
	s.logFaults(faults)
	s.mu.Lock()
	s.hints = candidates
	s.mu.Unlock()
	s.setCandidates()
}

// recordFault is an invalid record of the list.
type recordFault struct {
	name    string
	version platform.Version
	err     error
}

// maxCandidates bounds the VMs of the list that are tried.
const maxCandidates = 2800

// candidatesOf returns the list's VMs that are not leaving, and the invalid records. Anyone may
// have written the list; it is a hint.
func candidatesOf(objects []platform.Object) (out []Candidate, faults []recordFault) {
	for _, o := range objects {
		r, err := parseRecord(&o)
		switch {
		case err != nil:
			faults = append(faults, recordFault{o.Name, o.Version, err})
		case !r.Leaving && len(out) < maxCandidates:
			out = append(out, Candidate{Name: r.Name, Address: r.PeerAddress})
		}
	}
	return out, faults
}

// maxRecordBytes bounds a record.
const maxRecordBytes = 2 << 10

// parseRecord decodes a VM's record. Its name must match the object's.
func parseRecord(o *platform.Object) (*edge.VMRecord, error) {
	if len(o.Value) > maxRecordBytes {
		return nil, trace.BadParameter("the record has %d bytes; allowed are %d", len(o.Value), maxRecordBytes)
	}
	var r edge.VMRecord
	if err := json.Unmarshal(o.Value, &r); err != nil {
		return nil, trace.Wrap(err, "decode the record")
	}
	if r.Name == "" || r.Name != o.Name {
		return nil, trace.BadParameter("the record names VM %q", r.Name)
	}
	host, port, err := net.SplitHostPort(r.PeerAddress)
	number, portErr := strconv.ParseUint(port, 10, 16)
	if err != nil || portErr != nil || host == "" || number == 0 {
		return nil, trace.BadParameter("field peer_address: got %q; allowed is host:port", r.PeerAddress)
	}
	return &r, nil
}

// logFaults logs invalid records, once per change.
func (s *Service) logFaults(faults []recordFault) {
	logged := make(map[string]platform.Version, len(faults))
	for _, f := range faults {
		logged[f.name] = f.version
		if before, ok := s.loggedFaults[f.name]; ok && before == f.version {
			continue
		}
		s.badRecords.Inc()
		s.cfg.Logger.Log(eventRecordBad, telemetry.Peer(f.name), telemetry.Value("version", uint64(f.version)), telemetry.Err(f.err))
	}
	s.loggedFaults = logged
}

// setCandidates passes seeds and hints to the machine.
func (s *Service) setCandidates() {
	s.mu.Lock()
	defer s.mu.Unlock()
	candidates := make([]Candidate, 0, len(s.cfg.Seeds)+len(s.hints))
	for _, address := range s.cfg.Seeds {
		candidates = append(candidates, Candidate{Address: address})
	}
	s.machine.SetCandidates(append(candidates, s.hints...))
}
