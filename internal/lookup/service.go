package lookup

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"masticturn/internal/config"
	"masticturn/internal/edge"
	"masticturn/internal/kernel"
	"masticturn/internal/membership"
)

// ServiceName is the name under which the service is registered.
const ServiceName = "lookup.service"

const millisPerSecond = 1000

// TicketIssuer issues tickets. A ticket lets a caller use idempotency keys at
// one VM without a write to the platform.
type TicketIssuer interface {
	Ticket(vm string, incarnation uint64) string
}

// Deps holds the dependencies of a Service.
type Deps struct {
	Config       config.Source
	Members      membership.Source
	DefaultPlace Place        // place of this VM, used for callers that no client block contains
	Tickets      TicketIssuer // nil: answers contain no tickets
	Metrics      *metrics.Set
}

// Service answers look-ups. For one document and one view of the members, each
// answer is computed once per place and bucket and then served from a cache.
type Service struct {
	deps     Deps
	mu       sync.Mutex // serializes changes of table and answers
	table    atomic.Pointer[tableState]
	answers  atomic.Pointer[answerCache]
	cancel   []func()
	requests *metrics.Counter
	computed *metrics.Counter
}

var (
	_ kernel.Service = (*Service)(nil)
	_ Locator        = (*Service)(nil)
	_ http.Handler   = (*Service)(nil)
)

// tableState is the table of one document.
type tableState struct {
	snap  *config.Snapshot
	table *Table
}

// answerCache holds the encoded answers computed from one document and one roster.
type answerCache struct {
	snap        *config.Snapshot
	roster      *Roster
	fingerprint uint64
	encoded     sync.Map // answerKey -> []byte
}

type answerKey struct {
	place  Place
	bucket uint8
}

// NewService returns a service. It subscribes to the configuration and the
// members when it is started.
func NewService(deps Deps) *Service {
	return &Service{
		deps:     deps,
		requests: deps.Metrics.NewCounter("masticturn_lookups_total"),
		computed: deps.Metrics.NewCounter("masticturn_lookup_answers_computed_total"),
	}
}

// Provision implements kernel.Service.
func (s *Service) Provision(*kernel.Kernel) error { return nil }

// Start implements kernel.Service.
func (s *Service) Start(context.Context) error {
	s.cancel = append(s.cancel,
		s.deps.Config.Subscribe(func(*config.Snapshot) { s.refresh() }),
		s.deps.Members.Subscribe(func(*membership.View) { s.refresh() }))
	s.refresh()
	return nil
}

// Drain implements kernel.Service. Look-ups are answered until Stop, so that
// callers learn which other VMs to use.
func (s *Service) Drain(context.Context) error { return nil }

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	for _, cancel := range s.cancel {
		cancel()
	}
	return nil
}

// tableFor returns the table of a document. It reuses the last table if the
// client blocks are the same.
func (s *Service) tableFor(snap *config.Snapshot, last *tableState) *Table {
	if last != nil && last.snap.BlocksHash == snap.BlocksHash {
		return last.table
	}
	return NewTable(snap.Document.ClientBlocks, s.deps.DefaultPlace)
}

// refresh installs an empty answer cache if the document or the roster changed,
// and the table of the document if that changed.
func (s *Service) refresh() {
	s.mu.Lock()
	defer s.mu.Unlock()
	snap := s.deps.Config.Current()
	if snap == nil {
		return
	}
	if old := s.table.Load(); old == nil || old.snap != snap {
		s.table.Store(&tableState{snap: snap, table: s.tableFor(snap, old)})
	}
	roster := NewRoster(s.deps.Members.View())
	current := roster.fingerprint()
	if old := s.answers.Load(); old == nil || old.snap != snap || old.fingerprint != current {
		s.answers.Store(&answerCache{snap: snap, roster: roster, fingerprint: current})
	}
}

// DiscardAnswers discards the cached answers, so that new answers contain new tickets.
func (s *Service) DiscardAnswers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.answers.Load(); old != nil {
		s.answers.Store(&answerCache{snap: old.snap, roster: old.roster, fingerprint: old.fingerprint})
	}
}

// fingerprint hashes the members' data that answers depend on. A member that only
// adopted a newer document changes the view, but not the answers.
func (r *Roster) fingerprint() uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, region := range r.regions {
		for _, m := range r.members[region] {
			_, _ = d.WriteString(m.Name)
			_, _ = d.WriteString(m.CallerAddress)
			_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, m.Incarnation))
		}
	}
	return d.Sum64()
}

// Locate implements Locator.
func (s *Service) Locate(addr netip.Addr) Place {
	t := s.table.Load()
	if t == nil {
		return s.deps.DefaultPlace
	}
	return t.table.Locate(addr)
}

// ServeHTTP answers a look-up. The optional query parameter "address" requests
// the answer for another address; the command line uses it.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.requests.Inc()
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		http.Error(w, "allowed is GET", http.StatusMethodNotAllowed)
		return
	}
	addr, err := callerAddress(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	body, maxAge, err := s.answer(addr)
	if err != nil {
		w.Header().Set("Retry-After", "1")
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	h := w.Header()
	h["Content-Type"] = contentTypeJSON
	h["Cache-Control"] = []string{"private, max-age=" + strconv.Itoa(maxAge)}
	h["Content-Length"] = []string{strconv.Itoa(len(body))}
	_, _ = w.Write(body)
}

var contentTypeJSON = []string{"application/json"}

// answer returns the encoded answer for an address and its max-age in seconds,
// rounded down.
func (s *Service) answer(addr netip.Addr) ([]byte, int, error) {
	cache := s.answers.Load()
	if cache == nil {
		return nil, 0, trace.ConnectionProblem(nil, "no document is in force yet")
	}
	maxAge := int(cache.snap.Document.Lookup.MaxAgeMS / millisPerSecond)
	key := answerKey{place: s.Locate(addr), bucket: bucketOf(addr)}
	if body, ok := cache.encoded.Load(key); ok {
		return body.([]byte), maxAge, nil
	}
	body, err := s.encode(cache, key)
	if err != nil {
		return nil, 0, err
	}
	cache.encoded.Store(key, body)
	return body, maxAge, nil
}

// encode computes and encodes one answer.
func (s *Service) encode(cache *answerCache, key answerKey) ([]byte, error) {
	s.computed.Inc()
	lookup := cache.snap.Document.Lookup
	members := cache.roster.Candidates(cache.snap, key.place, int(key.bucket), lookup.Answers)
	if len(members) == 0 {
		return nil, trace.NotFound("no VM is known to be able to serve")
	}
	answer := edge.LookupResponse{
		MaxAgeSeconds: lookup.MaxAgeMS.Duration().Seconds(),
		Generation:    uint64(cache.snap.Generation),
	}
	for _, m := range members {
		vm := edge.LookupVM{Name: m.Name, Zone: m.Zone, Address: m.CallerAddress}
		if s.deps.Tickets != nil {
			vm.Ticket = s.deps.Tickets.Ticket(m.Name, m.Incarnation)
		}
		answer.VMs = append(answer.VMs, vm)
	}
	body, err := json.Marshal(answer)
	return body, trace.Wrap(err)
}

// callerAddress returns the address for which a look-up is answered.
func callerAddress(r *http.Request) (netip.Addr, error) {
	if r.URL.RawQuery != "" {
		if q := r.URL.Query().Get(edge.QueryAddress); q != "" {
			addr, err := netip.ParseAddr(q)
			return addr, trace.Wrap(err, "query parameter %s", edge.QueryAddress)
		}
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return netip.Addr{}, trace.Wrap(err)
	}
	addr, err := netip.ParseAddr(host)
	return addr, trace.Wrap(err)
}

// bucketOf returns the bucket of an address.
func bucketOf(addr netip.Addr) uint8 {
	b := addr.As16()
	return uint8(xxhash.Sum64(b[:]) % Buckets)
}
