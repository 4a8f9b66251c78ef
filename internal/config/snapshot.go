package config

import (
	"net/http"
	"strings"
	"sync"

	"masticturn/internal/customer"
)

// Generation is the version number of an accepted document. It increases
// monotonically.
type Generation uint64

// Snapshot is an accepted document with the lookup tables derived from it. It is
// immutable and shared by all requests.
type Snapshot struct {
	Generation Generation
	Hash       uint64 // hash of the stored document
	BlocksHash uint64 // hash of the client blocks; 0 if there are none
	Document   *Document
	// Customers holds the keys that requests must carry, or nil if no keys are required. Only documents
	// of a platform have customers.
	Customers *customer.Directory

	regionOfZone map[string]string
	services     []*ServiceIndex
	byName       map[string]*ServiceIndex
	classes      map[string]*Class
	links        map[regionPair]*Link
	hosts        hostTable
	overrides    sync.Map // overrideKey -> *Rule
}

// ServiceIndex is a service with its targets indexed by region.
type ServiceIndex struct {
	*Service
	TargetsByRegion map[string][]*TargetIndex
	AllTargets      []*TargetIndex

	names *targetNames
}

// targetNames indexes a service's targets by name once that is first needed.
type targetNames struct {
	once   sync.Once
	byName map[string]*TargetIndex
}

// target returns the target with the given name, or nil.
func (s *ServiceIndex) target(name string) *TargetIndex {
	s.names.once.Do(func() {
		s.names.byName = make(map[string]*TargetIndex, len(s.AllTargets))
		for _, t := range s.AllTargets {
			s.names.byName[t.Name] = t
		}
	})
	return s.names.byName[name]
}

// SharesTargets reports whether both services have the same list of targets in memory, as in successive live
// snapshots while the service's targets do not change.
func (s *ServiceIndex) SharesTargets(other *ServiceIndex) bool {
	return sameTargets(s.Targets, other.Targets)
}

// sameTargets reports whether two lists are the same in memory.
func sameTargets(a, b []Target) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// TargetIndex is a target with its service and region.
type TargetIndex struct {
	*Target
	Service string
	Region  string
}

type regionPair struct{ from, to string }

// NewSnapshot builds the snapshot of a valid document. The document must not be
// modified afterwards.
func NewSnapshot(gen Generation, doc *Document) (*Snapshot, error) {
	e, err := Split(doc)
	if err != nil {
		return nil, err
	}
	return newSnapshot(gen, e, doc, nil), nil
}

// newSnapshot builds a snapshot. Services with the same list of targets in memory as in a previous snapshot, which
// may be nil, share their indexes with it.
func newSnapshot(gen Generation, e *Encoded, doc *Document, previous *Snapshot) *Snapshot {
	s := &Snapshot{
		Generation:   gen,
		Hash:         e.Hash(),
		BlocksHash:   e.BlocksHash,
		Document:     doc,
		regionOfZone: make(map[string]string),
		byName:       make(map[string]*ServiceIndex),
		classes:      make(map[string]*Class),
		links:        make(map[regionPair]*Link),
	}
	for _, r := range doc.Regions {
		for _, z := range r.Zones {
			s.regionOfZone[z] = r.Name
		}
	}
	for i := range doc.Classes {
		s.classes[doc.Classes[i].Name] = &doc.Classes[i]
	}
	for i := range doc.Links {
		l := &doc.Links[i]
		s.links[regionPair{l.From, l.To}] = l
	}
	for i := range doc.Services {
		s.addService(&doc.Services[i], previous)
	}
	s.hosts = newHostTable(doc.Hosts)
	return s
}

// NewLiveSnapshot builds a snapshot of a document whose targets are added and
// removed at run time, independently of the stored configuration. The document
// is not validated, and Hash is not computed from it.
func NewLiveSnapshot(gen Generation, doc *Document) *Snapshot {
	return NextLiveSnapshot(nil, gen, doc)
}

// NextLiveSnapshot is like NewLiveSnapshot for a document that follows the one of a previous snapshot, which may
// be nil, with the same regions. Services whose list of targets is the same in memory share its indexes.
func NextLiveSnapshot(previous *Snapshot, gen Generation, doc *Document) *Snapshot {
	return newSnapshot(gen, &Encoded{}, doc, previous)
}

// addService adds a service. It shares the indexes of the previous snapshot if the targets are the same.
func (s *Snapshot) addService(svc *Service, previous *Snapshot) {
	idx := &ServiceIndex{Service: svc}
	var old *ServiceIndex
	if previous != nil {
		old = previous.Service(svc.Name)
	}
	if old != nil && sameTargets(svc.Targets, old.Targets) {
		idx.TargetsByRegion, idx.AllTargets, idx.names = old.TargetsByRegion, old.AllTargets, old.names
	} else {
		s.indexTargets(idx)
	}
	s.services = append(s.services, idx)
	s.byName[svc.Name] = idx
}

// indexTargets builds the indexes of a service's targets.
func (s *Snapshot) indexTargets(idx *ServiceIndex) {
	targets := idx.Targets
	idx.TargetsByRegion = make(map[string][]*TargetIndex)
	idx.AllTargets = make([]*TargetIndex, 0, len(targets))
	idx.names = &targetNames{}
	all := make([]TargetIndex, len(targets))
	for i := range targets {
		t := &all[i]
		*t = TargetIndex{Target: &targets[i], Service: idx.Name, Region: s.regionOfZone[targets[i].Zone]}
		idx.TargetsByRegion[t.Region] = append(idx.TargetsByRegion[t.Region], t)
		idx.AllTargets = append(idx.AllTargets, t)
	}
}

// RegionOfZone returns the region of an availability zone, or "" if unknown.
func (s *Snapshot) RegionOfZone(zone string) string { return s.regionOfZone[zone] }

// Service returns the service with the given name, or nil.
func (s *Snapshot) Service(name string) *ServiceIndex { return s.byName[name] }

// Services returns all services in document order.
func (s *Snapshot) Services() []*ServiceIndex { return s.services }

// Target returns the target with the given name, or nil.
func (s *Snapshot) Target(name string) *TargetIndex {
	for _, svc := range s.services {
		if t := svc.target(name); t != nil {
			return t
		}
	}
	return nil
}

// Class returns the class with the given name, or nil.
func (s *Snapshot) Class(name string) *Class { return s.classes[name] }

// Link returns the link from one region to another, or nil.
func (s *Snapshot) Link(from, to string) *Link { return s.links[regionPair{from, to}] }

// Match is the result of routing a request.
type Match struct {
	Service    *ServiceIndex
	Route      *Route
	Class      *Class
	Repeatable bool
	Rule       *Rule // nil if the document has no hosts
}

// MatchRequest returns the service, route and class of a request; ok is false if
// nothing matches. If the rule has more than one part, Service is nil and the
// calling code must choose one.
func (s *Snapshot) MatchRequest(host, method, path string) (m Match, ok bool) {
	if len(s.hosts) > 0 {
		return s.matchHost(host, method, path)
	}
	for _, svc := range s.services {
		rest, found := strings.CutPrefix(path, svc.PathPrefix)
		if !found {
			continue
		}
		for i := range svc.Routes {
			r := &svc.Routes[i]
			if r.matches(method, rest) {
				return Match{Service: svc, Route: r, Class: s.classes[r.Class], Repeatable: r.repeatable(method)}, true
			}
		}
	}
	return Match{}, false
}

func (s *Snapshot) matchHost(host, method, path string) (Match, bool) {
	rule := s.hosts.find(host, path)
	if rule == nil {
		return Match{}, false
	}
	m := Match{Route: rule.route(), Class: s.classes[rule.Class], Rule: rule}
	m.Repeatable = m.Route.repeatable(method)
	if len(rule.Parts) == 1 {
		m.Service = s.byName[rule.Parts[0].Service]
	}
	return m, true
}

func (r *Route) matches(method, rest string) bool {
	if !strings.HasPrefix(rest, r.PathPrefix) {
		return false
	}
	if len(r.Methods) == 0 {
		return true
	}
	for _, m := range r.Methods {
		if m == method {
			return true
		}
	}
	return false
}

func (r *Route) repeatable(method string) bool {
	switch r.Repeat {
	case RepeatAllowed:
		return true
	case RepeatNever:
		return false
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// Source provides the snapshot in force. Current is a single atomic load and
// returns nil until the first document is adopted.
type Source interface {
	Current() *Snapshot
	// Subscribe calls f with each new snapshot, in order, from a single goroutine.
	Subscribe(f func(*Snapshot)) (cancel func())
}
