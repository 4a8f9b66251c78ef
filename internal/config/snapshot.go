package config

import (
	"net/http"
	"strings"
	"sync"

	"masticturn/internal/customer"
)

// Generation numbers accepted documents. It only rises.
type Generation uint64

// Snapshot is an accepted document with the tables derived from it. It is
// immutable and shared by all requests.
type Snapshot struct {
	Generation Generation
	Hash       uint64 // of the stored document
	BlocksHash uint64 // of its client blocks; 0 when there are none
	Document   *Document
	// Customers hold the keys that requests must carry; nil: no keys are needed. Only documents of a
	// platform have customers.
	Customers *customer.Directory

	regionOfZone map[string]string
	services     []*ServiceIndex
	byName       map[string]*ServiceIndex
	targets      map[string]*TargetIndex
	classes      map[string]*Class
	links        map[regionPair]*Link
	hosts        hostTable
	overrides    sync.Map // overrideKey -> *Rule
}

// ServiceIndex is a service with its targets by region.
type ServiceIndex struct {
	*Service
	TargetsByRegion map[string][]*TargetIndex
	AllTargets      []*TargetIndex
}

// TargetIndex is a target with where it is.
type TargetIndex struct {
	*Target
	Service string
	Region  string
}

type regionPair struct{ from, to string }

// NewSnapshot derives the tables of a valid document. The document must not be
// changed afterwards.
func NewSnapshot(gen Generation, doc *Document) (*Snapshot, error) {
	e, err := Split(doc)
	if err != nil {
		return nil, err
	}
	return newSnapshot(gen, e, doc), nil
}

func newSnapshot(gen Generation, e *Encoded, doc *Document) *Snapshot {
	s := &Snapshot{
		Generation:   gen,
		Hash:         e.Hash(),
		BlocksHash:   e.BlocksHash,
		Document:     doc,
		regionOfZone: make(map[string]string),
		byName:       make(map[string]*ServiceIndex),
		targets:      make(map[string]*TargetIndex),
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
		s.addService(&doc.Services[i])
	}
	s.hosts = newHostTable(doc.Hosts)
	return s
}

// NewLiveSnapshot derives the tables of a document whose targets come and go
// apart from it. It is not checked and has no hash.
func NewLiveSnapshot(gen Generation, doc *Document) *Snapshot {
	return newSnapshot(gen, &Encoded{}, doc)
}

func (s *Snapshot) addService(svc *Service) {
	idx := &ServiceIndex{Service: svc, TargetsByRegion: make(map[string][]*TargetIndex)}
	for i := range svc.Targets {
		t := &TargetIndex{Target: &svc.Targets[i], Service: svc.Name, Region: s.regionOfZone[svc.Targets[i].Zone]}
		idx.TargetsByRegion[t.Region] = append(idx.TargetsByRegion[t.Region], t)
		idx.AllTargets = append(idx.AllTargets, t)
		s.targets[t.Name] = t
	}
	s.services = append(s.services, idx)
	s.byName[svc.Name] = idx
}

// RegionOfZone returns the region of an availability zone, "" if unknown.
func (s *Snapshot) RegionOfZone(zone string) string { return s.regionOfZone[zone] }

// Service returns the service of that name, or nil.
func (s *Snapshot) Service(name string) *ServiceIndex { return s.byName[name] }

// Services returns all services in the document's order.
func (s *Snapshot) Services() []*ServiceIndex { return s.services }

// Target returns the target of that name, or nil.
func (s *Snapshot) Target(name string) *TargetIndex { return s.targets[name] }

// Class returns the class of that name, or nil.
func (s *Snapshot) Class(name string) *Class { return s.classes[name] }

// Link returns the link between two regions, or nil.
func (s *Snapshot) Link(from, to string) *Link { return s.links[regionPair{from, to}] }

// Match is the result of routing a request.
type Match struct {
	Service    *ServiceIndex
	Route      *Route
	Class      *Class
	Repeatable bool
	Rule       *Rule // nil in a document without hosts
}

// MatchRequest finds service, route and class of a request; ok is false when
// none matches. The service of a rule with several parts is left open, for the
// caller to choose.
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

// Source hands out the snapshot in force. Current is one atomic load and
// returns nil until the first document is adopted.
type Source interface {
	Current() *Snapshot
	// Subscribe calls f with each new snapshot, in order, from one goroutine.
	Subscribe(f func(*Snapshot)) (cancel func())
}
