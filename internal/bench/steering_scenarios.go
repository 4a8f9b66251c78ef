package bench

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"masticturn/internal/bench/cluster"
	"masticturn/internal/config"
	"masticturn/internal/edge"
	"masticturn/internal/standin/caller"
	"masticturn/internal/standin/target"
	"masticturn/internal/steering"
)

// steeringScenario is a load with an event in one region.
type steeringScenario struct {
	name     string
	load     float64       // part of the targets' capacity, unless told otherwise
	cold     time.Duration // a target is cold after its start; waited for before the load
	warm     time.Duration // before the event; not measured
	event    time.Duration
	after    time.Duration // after the event
	tries    int           // of a caller
	document func(*config.Document)
	begin    func(context.Context, *steeringLoad) error
	end      func(context.Context, *steeringLoad) error
	parts    func(eventRegion bool, load float64) []loadPart
}

// partSeparator ends the name of a part in names of callers.
const partSeparator = "+"

// loadPart is a part of a region's load that begins some time after the
// others.
type loadPart struct {
	name  string
	load  float64
	after time.Duration
}

func (s steeringScenario) total() time.Duration { return s.warm + s.event + s.after }

// shortened returns the scenario for a run of several policies.
func (s steeringScenario) shortened() steeringScenario {
	s.cold, s.warm, s.event, s.after = shortCold, shortWarm, shortEvent, 0
	return s
}

// Times of scenarios.
const (
	steeringWarm  = 3 * time.Second
	steeringEvent = 6 * time.Second
	steeringAfter = 6 * time.Second
	steeringCold  = time.Second
	shortCold     = 400 * time.Millisecond
	shortWarm     = 900 * time.Millisecond
	shortEvent    = 1600 * time.Millisecond
)

// Strengths of the events.
const (
	surgeFactor     = 10
	surgeSteps      = 10
	squeezedRPS     = 40 // requests a second of a squeezed link, over all services
	squeezedLoad    = 1.2
	lyingSlots      = 10 // times the true ones
	partitionedLoad = 1.2
)

// steeringScenarios lists all scenarios.
func steeringScenarios() []steeringScenario {
	return []steeringScenario{
		{name: "steady", load: 0.8, warm: steeringWarm, event: steeringEvent},
		{name: "surge", load: 0.2, warm: steeringWarm, event: surgeSteps * time.Second, after: 2 * time.Second, parts: surgeParts},
		regionLoss(),
		eventScenario("zone-loss", 0.5, 3, loseZone, regainZone),
		withParts(eventScenario("partition", 0.4, 1, partition, heal), partitionedLoad),
		withParts(squeezed(), squeezedLoad),
		eventScenario("cold-return", 0.5, 1, loseHalf, regainHalf),
		eventScenario("stale", 0.8, 1, stopReports, tellTruth),
		eventScenario("liars", 0.8, 1, lie, tellTruth),
	}
}

// SteeringScenarios returns the names of the scenarios.
func SteeringScenarios() []string {
	var names []string
	for _, s := range steeringScenarios() {
		names = append(names, s.name)
	}
	return names
}

func steeringScenarioOf(name string) (steeringScenario, error) {
	if name == "" {
		name = "steady"
	}
	for _, s := range steeringScenarios() {
		if s.name != name {
			continue
		}
		s.tries = max(s.tries, 1)
		s.cold = steeringCold
		if s.parts == nil {
			s.parts = evenParts
		}
		return s, nil
	}
	return steeringScenario{}, trace.BadParameter("scenario %q: known are %s", name, strings.Join(SteeringScenarios(), ", "))
}

type eventFunc = func(context.Context, *steeringLoad) error

func eventScenario(name string, load float64, tries int, begin, end eventFunc) steeringScenario {
	return steeringScenario{
		name: name, load: load, tries: tries, begin: begin, end: end,
		warm: steeringWarm, event: steeringEvent, after: steeringAfter,
	}
}

// regionLoss lasts longer than others: a region that is silent as a whole is
// given up late, since it may be cut off only.
func regionLoss() steeringScenario {
	s := eventScenario("region-loss", 0.5, 3, loseRegion, regainRegion)
	s.warm, s.event, s.after = 2*time.Second, 9*time.Second, 3*time.Second
	return s
}

// withParts gives the event's region another load than the others.
func withParts(s steeringScenario, eventLoad float64) steeringScenario {
	s.parts = func(eventRegion bool, load float64) []loadPart {
		if eventRegion {
			return []loadPart{{load: eventLoad}}
		}
		return []loadPart{{load: load}}
	}
	return s
}

func evenParts(_ bool, load float64) []loadPart { return []loadPart{{load: load}} }

// surgeParts multiplies the load of the event's region in steps.
func surgeParts(eventRegion bool, load float64) []loadPart {
	parts := []loadPart{{load: load}}
	if !eventRegion {
		return parts
	}
	for i := 1; i < surgeFactor; i++ {
		after := steeringWarm + time.Duration(i)*time.Second*surgeSteps/surgeFactor
		parts = append(parts, loadPart{name: fmt.Sprintf("%d%s", i, partSeparator), load: load, after: after})
	}
	return parts
}

func squeezed() steeringScenario {
	s := steeringScenario{name: "squeezed-link", load: 0.3, warm: steeringWarm, event: steeringEvent}
	s.document = func(doc *config.Document) {
		for i := range doc.Links {
			doc.Links[i].RequestsPerSecond = squeezedRPS
		}
	}
	return s
}

// steeringMaxAge is how long look-ups may be cached, in milliseconds, so that
// callers learn of lost VMs during a scenario.
const steeringMaxAge = 1000

// steeringDocument returns a copy of a document with the policy, one service,
// and one route for each class.
func steeringDocument(from *config.Document, sc steeringScenario, policy steering.PolicyName) (*config.Document, error) {
	doc, err := config.Clone(from)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	doc.Steering.Policy = string(policy)
	doc.Steering.ColdMS = config.Millis(sc.cold.Milliseconds())
	doc.Lookup.MaxAgeMS = steeringMaxAge
	doc.Services = doc.Services[:1]
	svc := &doc.Services[0]
	tenant := svc.Routes[0].Tenant
	svc.Routes = nil
	for _, c := range doc.Classes {
		svc.Routes = append(svc.Routes, config.Route{PathPrefix: c.Name + "/", Class: c.Name, Tenant: tenant})
	}
	doc.ShiftCaps = slices.DeleteFunc(doc.ShiftCaps, func(c config.ShiftCap) bool {
		return c.Service != "" && c.Service != svc.Name
	})
	if sc.document != nil {
		sc.document(doc)
	}
	return doc, nil
}

// classShares are the parts of the requests, by priority; the last one is that
// of all further classes together.
var classShares = []float64{0.5, 0.2, 0.1, 0.2}

// steeringShapes returns one shape of small reads for each class.
func steeringShapes(doc *config.Document) []caller.Shape {
	classes := slices.Clone(doc.Classes)
	slices.SortFunc(classes, func(a, b config.Class) int { return a.Priority - b.Priority })
	var shapes []caller.Shape
	for i, c := range classes {
		shapes = append(shapes, caller.Shape{
			Name:        c.Name,
			Service:     doc.Services[0].Name,
			Class:       c.Name,
			Method:      "GET",
			Path:        doc.Services[0].PathPrefix + c.Name + "/item",
			Weight:      classShares[min(i, len(classShares)-1)],
			AnswerBytes: smallAnswer,
			Repeatable:  true,
		})
	}
	return shapes
}

// callerName returns the name of the caller of an availability zone.
func callerName(zone string) string { return "caller-" + zone }

func loseRegion(_ context.Context, l *steeringLoad) error {
	for _, vm := range l.vms(func(vm *cluster.VM) bool { return vm.Settings.VM.Region == l.region }) {
		vm.Kill()
	}
	return each(l.targets(l.region), l.cluster.KillTarget)
}

func regainRegion(ctx context.Context, l *steeringLoad) error {
	if err := each(l.targets(l.region), l.cluster.RestartTarget); err != nil {
		return err
	}
	return each(l.vms(func(vm *cluster.VM) bool { return !vm.Running() }), func(vm *cluster.VM) error { return vm.Start(ctx) })
}

// lostZone is the first availability zone of the event's region.
func (l *steeringLoad) lostZone() string { return l.cluster.Document.Regions[0].Zones[0] }

func (l *steeringLoad) zoneTargets() []*cluster.Target {
	var out []*cluster.Target
	for _, t := range l.targets(l.region) {
		if t.Host.Zone == l.lostZone() {
			out = append(out, t)
		}
	}
	return out
}

func loseZone(_ context.Context, l *steeringLoad) error {
	for _, vm := range l.vms(func(vm *cluster.VM) bool { return vm.Host.Zone == l.lostZone() }) {
		vm.Kill()
	}
	return each(l.zoneTargets(), l.cluster.KillTarget)
}

func regainZone(ctx context.Context, l *steeringLoad) error {
	if err := each(l.zoneTargets(), l.cluster.RestartTarget); err != nil {
		return err
	}
	return each(l.vms(func(vm *cluster.VM) bool { return !vm.Running() }), func(vm *cluster.VM) error { return vm.Start(ctx) })
}

// half returns every other target of the event's region.
func (l *steeringLoad) half() []*cluster.Target {
	var out []*cluster.Target
	for i, t := range l.targets(l.region) {
		if i%2 == 0 {
			out = append(out, t)
		}
	}
	return out
}

func loseHalf(_ context.Context, l *steeringLoad) error {
	return each(l.half(), l.cluster.KillTarget)
}

func regainHalf(_ context.Context, l *steeringLoad) error {
	return each(l.half(), l.cluster.RestartTarget)
}

// partition cuts the event's region off from the VMs and targets of the
// others.
func partition(_ context.Context, l *steeringLoad) error {
	l.across(l.cluster.Network.Hold)
	return nil
}

func heal(_ context.Context, l *steeringLoad) error {
	l.across(l.cluster.Network.Release)
	return nil
}

func stopReports(_ context.Context, l *steeringLoad) error {
	l.report(func(*cluster.Target) target.Report { return target.Report{Stopped: true} })
	return nil
}

func lie(_ context.Context, l *steeringLoad) error {
	l.report(func(t *cluster.Target) target.Report {
		return target.Report{
			Health: &edge.TargetHealth{Status: edge.TargetOK},
			Load:   &edge.TargetLoad{Slots: lyingSlots * t.Slots},
		}
	})
	return nil
}

func tellTruth(_ context.Context, l *steeringLoad) error {
	l.report(func(*cluster.Target) target.Report { return target.Report{} })
	return nil
}

func (l *steeringLoad) report(f func(*cluster.Target) target.Report) {
	for _, t := range l.cluster.Targets {
		t.SetReport(f(t))
	}
}

func (l *steeringLoad) vms(chosen func(*cluster.VM) bool) []*cluster.VM {
	var out []*cluster.VM
	for _, vm := range l.cluster.VMs {
		if chosen(vm) {
			out = append(out, vm)
		}
	}
	return out
}

func each[T any](items []T, f func(T) error) error {
	var errs []error
	for _, item := range items {
		errs = append(errs, f(item))
	}
	return trace.NewAggregate(errs...)
}
