package config

import "fmt"

const millisPerSecond = 1000

// Advise returns warnings about valid but probably unintended settings, such as
// a shift cap that exceeds the capacity of its link. Warnings do not prevent a
// document from being accepted, so that an operator can reduce the limit of a
// link in an emergency without changing the caps first.
func Advise(doc *Document) ([]Fault, error) {
	effective, err := Effective(doc)
	if err != nil {
		return nil, err
	}
	snap := newSnapshot(0, &Encoded{}, effective, nil)
	a := &adviser{snap: snap}
	a.checkLinks()
	for i := range effective.Services {
		a.checkService(elementPath("services", i), &effective.Services[i])
	}
	return a.faults, nil
}

// adviser collects warnings.
type adviser struct {
	faultList
	snap *Snapshot
}

// checkService warns about requests that no route matches and about a service
// whose targets are all leaving.
func (a *adviser) checkService(path string, s *Service) {
	if !matchesAll(s.Routes) {
		a.report(path+".routes", "no route for some requests", "a last route that matches all requests")
	}
	for i := range s.Targets {
		if !s.Targets[i].Leaving {
			return
		}
	}
	a.report(path+".targets", "all leaving", "at least one target that is not leaving; otherwise the service becomes unavailable")
}

// checkLinks warns about links whose limit is below the traffic that the shift
// caps allow when all targets of the source region are busy.
func (a *adviser) checkLinks() {
	for i := range a.snap.Document.Links {
		l := &a.snap.Document.Links[i]
		allowed := 0.0
		for _, svc := range a.snap.Services() {
			allowed += a.capFraction(l.From, l.To, svc.Name) * capacity(svc, l.From)
		}
		if limit := float64(l.RequestsPerSecond); allowed > limit {
			a.report(elementPath("links", i)+".requests_per_second", l.RequestsPerSecond,
				"about %s, which the shift caps allow at full load", fmt.Sprintf("%.0f", allowed))
		}
	}
}

// capFraction returns the cap of a service between two regions: its own cap if
// there is one, otherwise the cap for all services.
func (a *adviser) capFraction(from, to, service string) float64 {
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

// capacity returns the requests per second that the targets of a service in a
// region can run.
func capacity(svc *ServiceIndex, region string) float64 {
	slots := 0
	for _, t := range svc.TargetsByRegion[region] {
		slots += t.Slots
	}
	return float64(slots) * millisPerSecond / float64(svc.ServiceMS)
}
