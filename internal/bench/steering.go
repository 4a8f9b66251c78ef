package bench

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"masticturn/internal/bench/cluster"
	"masticturn/internal/config"
	"masticturn/internal/standin/caller"
	"masticturn/internal/steering"
)

// SteeringOptions configures Steering. Document and Start are required.
type SteeringOptions struct {
	Document *config.Document
	Start    cluster.StartDaemon
	Scenario string // name of a scenario; empty: steady
	Policies []steering.PolicyName
	Load     float64 // offered load as a part of the targets' capacity; 0: the scenario's own
	Seed     uint64
	VMs      int
	Cluster  func(*cluster.Options) // changes the cluster's options; may be nil
}

// SteeringReport is the result of Steering: one run for each policy.
type SteeringReport struct {
	Deployment     string        `json:"deployment"`
	Scenario       string        `json:"scenario"`
	Load           float64       `json:"load"` // part of the targets' capacity
	Service        string        `json:"service"`
	Runs           []SteeringRun `json:"runs"`
	BrokenPromises int           `json:"broken_promises"` // of the policy broker: caps exceeded and regions overloaded
}

// Steering runs a scenario under each of the policies. The load goes to the
// first service of the document, through routes for all classes. The targets
// have no queue of their own.
func Steering(ctx context.Context, opts SteeringOptions) (*SteeringReport, error) {
	sc, err := steeringScenarioOf(opts.Scenario)
	if err != nil {
		return nil, err
	}
	if len(opts.Policies) == 0 {
		opts.Policies = []steering.PolicyName{steering.PolicyBroker}
	}
	if len(opts.Policies) > 1 {
		sc = sc.shortened()
	}
	if opts.Load == 0 {
		opts.Load = sc.load
	}
	report := &SteeringReport{
		Deployment: opts.Document.Deployment,
		Scenario:   sc.name,
		Load:       opts.Load,
		Service:    opts.Document.Services[0].Name,
	}
	for _, policy := range opts.Policies {
		run, err := runSteering(ctx, opts, sc, policy)
		if err != nil {
			return nil, trace.Wrap(err, "scenario %s under policy %s", sc.name, policy)
		}
		report.Runs = append(report.Runs, *run)
		report.BrokenPromises += Broken(run)
	}
	return report, nil
}

// steeringLoad is a running scenario.
type steeringLoad struct {
	opts    SteeringOptions
	sc      steeringScenario
	cluster *cluster.Cluster
	region  string // where the scenario's event happens
	began   time.Time
}

func runSteering(ctx context.Context, opts SteeringOptions, sc steeringScenario, policy steering.PolicyName) (*SteeringRun, error) {
	doc, err := steeringDocument(opts.Document, sc, policy)
	if err != nil {
		return nil, err
	}
	clusterOpts := cluster.Options{
		Document:   doc,
		Start:      opts.Start,
		VMs:        opts.VMs,
		Seed:       opts.Seed,
		Sigma:      cluster.DefaultSigma,
		ColdFactor: cluster.DefaultColdFactor,
		KeepLogs:   true,
	}
	if opts.Cluster != nil {
		opts.Cluster(&clusterOpts)
	}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	c, err := cluster.New(startCtx, clusterOpts)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	l := &steeringLoad{opts: opts, sc: sc, cluster: c, region: doc.Regions[0].Name}
	if err := l.run(ctx); err != nil {
		return nil, err
	}
	return newSteeringRun(l, policy), nil
}

// run offers the load while the scenario's event happens, and returns when all
// requests have ended.
func (l *steeringLoad) run(ctx context.Context) error {
	sleepFor(ctx, l.sc.cold)
	ctx, cancel := context.WithTimeout(ctx, l.sc.total())
	defer cancel()
	l.began = time.Now()
	events := make(chan error, 1)
	go func() { events <- l.causeEvent(ctx) }()
	var group sync.WaitGroup
	for _, one := range l.callers() {
		group.Go(func() {
			sleepFor(ctx, one.after)
			one.Run(ctx, 0)
		})
	}
	group.Wait()
	return <-events
}

// causeEvent begins the event after the warm-up and ends it in time.
func (l *steeringLoad) causeEvent(ctx context.Context) error {
	if l.sc.begin == nil {
		return nil
	}
	sleepFor(ctx, l.sc.warm)
	if err := l.sc.begin(ctx, l); err != nil {
		return err
	}
	sleepFor(ctx, l.sc.event)
	if l.sc.end == nil {
		return nil
	}
	return l.sc.end(context.WithoutCancel(ctx), l)
}

func sleepFor(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// steeringPatience is how long a caller waits for one try.
const steeringPatience = 6 * time.Second

// lateCaller is a caller that begins some time after the load.
type lateCaller struct {
	*caller.Caller
	after time.Duration
}

// callers returns the callers of all regions, each region with its part of the
// load.
func (l *steeringLoad) callers() []lateCaller {
	var all []lateCaller
	for _, r := range l.cluster.Document.Regions {
		for _, part := range l.sc.parts(r.Name == l.region, l.opts.Load) {
			all = append(all, l.callersOf(r, part)...)
		}
	}
	return all
}

// callersOf returns callers of one region that offer a part of its capacity.
func (l *steeringLoad) callersOf(r config.Region, part loadPart) []lateCaller {
	zones := 0
	for _, region := range l.cluster.Document.Regions {
		zones += len(region.Zones)
	}
	perZone := part.load * l.capacity(r.Name) / float64(len(r.Zones))
	made := l.cluster.Callers(caller.Options{
		Prefix:   part.name,
		Shapes:   steeringShapes(l.cluster.Document),
		Rate:     perZone * float64(zones),
		MaxTries: l.sc.tries,
		Timeout:  steeringPatience,
	})
	var out []lateCaller
	for i, host := range l.cluster.CallerHosts() {
		for _, zone := range r.Zones {
			if host.Name == callerName(zone) {
				out = append(out, lateCaller{made[i], part.after})
			}
		}
	}
	return out
}

// capacity returns the requests a second that a region's targets can run.
func (l *steeringLoad) capacity(region string) float64 {
	svc := &l.cluster.Document.Services[0]
	return float64(l.slots(region)) / svc.ServiceMS.Duration().Seconds()
}

// slots returns the slots of a region's targets of the service under load.
func (l *steeringLoad) slots(region string) int {
	n := 0
	for _, t := range l.targets(region) {
		n += t.Slots
	}
	return n
}

// targets returns a region's targets of the service under load.
func (l *steeringLoad) targets(region string) []*cluster.Target {
	var out []*cluster.Target
	for _, t := range l.cluster.Services[l.cluster.Document.Services[0].Name] {
		if t.Region == region {
			out = append(out, t)
		}
	}
	return out
}
