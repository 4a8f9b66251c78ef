package config

import "fmt"

const millisPerSecond = 1000

// Advise returns what is allowed but probably not meant, such as a cap above
// what its link carries. A document with warnings can be accepted: an operator
// who squeezes a link in a hurry need not change the caps first.
func Advise(doc *Document) ([]Fault, error) {
	effective, err := Effective(doc)
	if err != nil {
		return nil, err
	}
	snap := newSnapshot(0, &Encoded{}, effective)
	a := &adviser{snap: snap}
	a.links()
	for i := range effective.Services {
		a.service(at("services", i), &effective.Services[i])
	}
	return a.faults, nil
}

// adviser collects warnings.
type adviser struct {
	faultList
	snap *Snapshot
}

// service warns of requests that no route matches and of a service about to
// end.
func (a *adviser) service(path string, s *Service) {
	if !matchesAll(s.Routes) {
		a.report(path+".routes", "no route for some requests", "a last route that matches all requests")
	}
	for i := range s.Targets {
		if !s.Targets[i].Leaving {
			return
		}
	}
	a.report(path+".targets", "all leaving", "a target that stays; the service is about to end")
}

// links warns of links that carry less than the shift caps allow when all
// targets of the region that traffic comes from are busy.
func (a *adviser) links() {
	for i := range a.snap.Document.Links {
		l := &a.snap.Document.Links[i]
		allowed := 0.0
		for _, svc := range a.snap.Services() {
			allowed += a.fraction(l.From, l.To, svc.Name) * capacity(svc, l.From)
		}
		if limit := float64(l.RequestsPerSecond); allowed > limit {
			a.report(at("links", i)+".requests_per_second", l.RequestsPerSecond,
				"about %s, which the shift caps allow at full load", fmt.Sprintf("%.0f", allowed))
		}
	}
}

// fraction returns the cap of a service on a way: its own, or else the one for
// all services.
func (a *adviser) fraction(from, to, service string) float64 {
	general := 0.0
	for _, c := range a.snap.Document.ShiftCaps {
		if c.From != from || c.To != to {
			continue
		}
		if c.Service == service {
			return c.MaxFraction
		}
		if c.Service == "" {
			general = c.MaxFraction
		}
	}
	return general
}

// capacity returns the requests per second that a region's targets of a
// service can run.
func capacity(svc *ServiceIndex, region string) float64 {
	slots := 0
	for _, t := range svc.TargetsByRegion[region] {
		slots += t.Slots
	}
	return float64(slots) * millisPerSecond / float64(svc.ServiceMS)
}
