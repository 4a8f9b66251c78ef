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

// Intervals and timeout of reads of the platform's list of VMs. Only joining daemons and relays read
// it, so that the number of calls does not grow with the fleet.
const (
	vmListIntervalJoining = time.Second
	vmListInterval        = 30 * time.Second
	vmListTimeout         = 2 * time.Second
)

// pollVMList reads the list of VMs periodically while this daemon is joining or is a relay.
func (s *Service) pollVMList() {
	if len(s.cfg.Seeds) > 0 && !s.sleep(vmListIntervalJoining) {
		return
	}
	for {
		if !s.Ready() || s.isRelay() {
			s.readVMList()
		}
		wait := vmListInterval
		if !s.Ready() {
			wait = vmListIntervalJoining
		}
		if !s.sleep(wait) {
			return
		}
	}
}

// sleep waits for d. It returns false if the service is stopped meanwhile.
func (s *Service) sleep(d time.Duration) bool {
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

func (s *Service) readVMList() {
	ctx, cancel := context.WithTimeout(s.ctx, vmListTimeout)
	defer cancel()
	objects, _, err := s.cfg.Store.List(ctx, platform.KindVM)
	if err != nil {
		s.cfg.Logger.Log(eventVMListFailed, telemetry.Err(err))
		return
	}
	candidates, invalid := parseCandidates(objects)
	s.logInvalidRecords(invalid)
	s.mu.Lock()
	s.listedVMs = candidates
	s.mu.Unlock()
	s.setCandidates()
}

// invalidRecord identifies an invalid record in the list of VMs.
type invalidRecord struct {
	name    string
	version platform.Version
	err     error
}

// maxCandidates is the maximum number of candidates taken from the list of VMs.
const maxCandidates = 2800

// parseCandidates returns the VMs in the list that are not leaving, and the invalid records. The list
// is not trusted, because other programs may write to it.
func parseCandidates(objects []platform.Object) (out []Candidate, invalid []invalidRecord) {
	for _, o := range objects {
		r, err := parseRecord(&o)
		switch {
		case err != nil:
			invalid = append(invalid, invalidRecord{o.Name, o.Version, err})
		case !r.Leaving && len(out) < maxCandidates:
			out = append(out, Candidate{Name: r.Name, Address: r.PeerAddress})
		}
	}
	return out, invalid
}

// maxRecordBytes is the maximum size of a VM record.
const maxRecordBytes = 2 << 10

// parseRecord decodes and validates a VM record. Its name must match that of the object.
func parseRecord(o *platform.Object) (*edge.VMRecord, error) {
	if len(o.Value) > maxRecordBytes {
		return nil, trace.BadParameter("record has %d bytes, maximum is %d", len(o.Value), maxRecordBytes)
	}
	var r edge.VMRecord
	if err := json.Unmarshal(o.Value, &r); err != nil {
		return nil, trace.Wrap(err, "decode record")
	}
	if r.Name == "" || r.Name != o.Name {
		return nil, trace.BadParameter("record contains the name of VM %q", r.Name)
	}
	host, port, err := net.SplitHostPort(r.PeerAddress)
	portNumber, portErr := strconv.ParseUint(port, 10, 16)
	if err != nil || portErr != nil || host == "" || portNumber == 0 {
		return nil, trace.BadParameter("field peer_address: got %q, must be host:port", r.PeerAddress)
	}
	return &r, nil
}

// logInvalidRecords logs and counts invalid records, once per version of a record.
func (s *Service) logInvalidRecords(records []invalidRecord) {
	logged := make(map[string]platform.Version, len(records))
	for _, r := range records {
		logged[r.name] = r.version
		if before, ok := s.loggedInvalid[r.name]; ok && before == r.version {
			continue
		}
		s.invalidRecords.Inc()
		s.cfg.Logger.Log(eventInvalidRecord, telemetry.Peer(r.name), telemetry.Value("version", r.version.String()), telemetry.Err(r.err))
	}
	s.loggedInvalid = logged
}

// setCandidates passes the seeds and the listed VMs to the state machine.
func (s *Service) setCandidates() {
	s.mu.Lock()
	defer s.mu.Unlock()
	candidates := make([]Candidate, 0, len(s.cfg.Seeds)+len(s.listedVMs))
	for _, address := range s.cfg.Seeds {
		candidates = append(candidates, Candidate{Address: address})
	}
	s.machine.SetCandidates(append(candidates, s.listedVMs...))
}
