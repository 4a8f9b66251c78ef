package bench

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"masticturn/internal/bench/cluster"
	"masticturn/internal/config"
	"masticturn/internal/standin/caller"
	"masticturn/internal/standin/promise"
)

// DrainsOptions configures Drains. Document and Start are required.
type DrainsOptions struct {
	Document   *config.Document
	Start      cluster.StartDaemon
	Seed       uint64
	Rate       float64       // requests a second, besides the uploads
	UploadPace time.Duration // how long each upload takes to send
	Load       time.Duration
	Trace      string
}

// Defaults of DrainsOptions, and the course of the scenario.
const (
	defaultDrainRate = 300.0
	defaultPace      = 30 * time.Second
	defaultDrainLoad = 18 * time.Second

	slowUploadShape = "slow-upload"
	slowUploadRate  = 1.5 // a second, over all callers
	slowUploadBytes = 2 << 20
	drainsAt        = 5 * time.Second // uploads are in flight by then
	signsFor        = 6 * time.Second // a sign is watched for so long: twice its quiet time
	busyOver        = 3 * time.Second // over which the busiest targets are chosen
	vmsDrained      = 2
	drainPatience   = 60 * time.Second
)

func (o *DrainsOptions) setDefaults() {
	if o.Rate == 0 {
		o.Rate = defaultDrainRate
	}
	if o.UploadPace == 0 {
		o.UploadPace = defaultPace
	}
	if o.Load == 0 {
		o.Load = defaultDrainLoad
	}
}

// VMDrain is the planned stop of one VM.
type VMDrain struct {
	VM      string  `json:"vm"`
	Uploads int     `json:"uploads"` // slow uploads in flight when it began
	Seconds float64 `json:"seconds"`
	Error   string  `json:"error,omitempty"`
	at      time.Time
}

// DrainsReport is the result of Drains.
type DrainsReport struct {
	Deployment string  `json:"deployment"`
	Seed       uint64  `json:"seed"`
	Seconds    float64 `json:"seconds"`
	LoadSummary
	VMs            []VMDrain      `json:"vms"`
	Targets        []TargetLeave  `json:"targets"`
	Promises       promise.Report `json:"promises"`
	BrokenPromises int            `json:"broken_promises"`
	Traces         []RequestTrace `json:"traces,omitempty"`
}

// Drains stops VMs as planned under a load with uploads of half a minute, and
// lets targets leave, each with one sign only while the others tell lies, with
// the platform up and down.
func Drains(ctx context.Context, opts DrainsOptions) (*DrainsReport, error) {
	opts.setDefaults()
	started := time.Now()
	c, snapshot, err := startWarm(ctx, opts.Document, opts.Start, opts.Seed)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	d := &drains{cluster: c, opts: opts, quiet: c.Document.Drain.TargetQuietMS.Duration()}
	for _, svc := range c.Document.Services {
		d.services = append(d.services, svc.Name)
	}
	d.run(ctx, snapshot)
	d.countUploads()
	report := &DrainsReport{
		Deployment: c.Document.Deployment,
		Seed:       opts.Seed,
		Seconds:    time.Since(started).Seconds(),
		VMs:        d.vms,
		Targets:    d.targets,
		Promises:   c.Check(),
	}
	report.LoadSummary = summarize(c.Notes)
	report.BrokenPromises = report.Promises.Total
	report.Traces = tracesOf(c, opts.Trace, report.Promises.Examples)
	return report, nil
}

// drains is a run of the scenario.
type drains struct {
	cluster *cluster.Cluster
	opts    DrainsOptions
	quiet   time.Duration // after which a leaving target must get nothing new

	services []string // names, in the document's order

	mu      sync.Mutex
	vms     []VMDrain
	targets []TargetLeave
}

func (d *drains) run(ctx context.Context, snapshot *config.Snapshot) {
	loadCtx, cancel := context.WithTimeout(ctx, d.opts.Load)
	defer cancel()
	var group sync.WaitGroup
	group.Go(func() { cluster.RunCallers(loadCtx, d.callers(snapshot)) })
	group.Go(func() { cluster.RunCallers(loadCtx, d.uploaders(snapshot)) })
	time.Sleep(drainsAt)
	for _, vm := range d.busiestVMs() {
		group.Go(func() { d.drainVM(ctx, vm) })
	}
	d.leaveTargets(ctx)
	group.Wait()
}

func (d *drains) callers(snapshot *config.Snapshot) []*caller.Caller {
	return d.cluster.Callers(caller.Options{Shapes: Mix(snapshot), Rate: d.opts.Rate, MaxTries: 1})
}

// uploaders returns callers that send their bodies slowly.
func (d *drains) uploaders(snapshot *config.Snapshot) []*caller.Caller {
	var shapes []caller.Shape
	for _, shape := range Mix(snapshot) {
		if shape.Name == uploadShape {
			shape.Name, shape.BodyBytes, shape.BodyPace = slowUploadShape, slowUploadBytes, d.opts.UploadPace
			shapes = append(shapes, shape)
		}
	}
	return d.cluster.Callers(caller.Options{
		Prefix:   "slow-",
		Shapes:   shapes,
		Rate:     slowUploadRate,
		MaxTries: 1,
		Timeout:  2 * d.opts.UploadPace,
	})
}

func (d *drains) drainVM(ctx context.Context, vm *cluster.VM) {
	ctx, cancel := context.WithTimeout(ctx, drainPatience)
	defer cancel()
	started := time.Now()
	err := vm.Drain(ctx)
	ended := time.Now()
	result := VMDrain{VM: vm.Host.Name, Seconds: ended.Sub(started).Seconds(), at: started}
	if err == nil {
		err = vm.Start(ctx)
	}
	if err != nil {
		result.Error = err.Error()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.vms = append(d.vms, result)
}

// leaveTargets lets targets leave by each sign, first with the platform up,
// then with it down.
func (d *drains) leaveTargets(ctx context.Context) {
	d.leaveBy(ctx, false, SignDocument, SignPlatform, SignHealth, SignShed)
	d.cluster.Store.SetOutage(true)
	d.cluster.Note(cluster.StoreDown, "", "", "for the signs that need no platform")
	d.leaveBy(ctx, true, SignHealth, SignShed)
	d.cluster.Store.SetOutage(false)
	d.cluster.Note(cluster.StoreUp, "", "", "")
}

// leaveBy lets one target leave by each of the signs, all at once. The signs
// go to the busiest target of each service, since only a target that gets work
// can show that it gets none.
func (d *drains) leaveBy(ctx context.Context, storeDown bool, signs ...LeaveSign) {
	var group sync.WaitGroup
	defer group.Wait()
	busiest := d.busiestTargets()
	for i, sign := range signs {
		t := busiest[i%len(busiest)]
		group.Go(func() {
			leave := d.leave(ctx, t, sign)
			leave.StoreDown = storeDown
			d.mu.Lock()
			defer d.mu.Unlock()
			d.targets = append(d.targets, leave)
		})
	}
}

// busiestVMs returns the VMs that served most over the last time, of
// different regions.
func (d *drains) busiestVMs() []*cluster.VM {
	since := time.Now().Add(-busyOver)
	work := make(map[string]int)
	for _, n := range d.cluster.Notes.Tries() {
		if n.Started.After(since) {
			work[n.VM]++
		}
	}
	vms := slices.Clone(d.cluster.VMs)
	slices.SortStableFunc(vms, func(a, b *cluster.VM) int { return cmp.Compare(work[b.Host.Name], work[a.Host.Name]) })
	regions := make(map[string]bool)
	var chosen []*cluster.VM
	for _, vm := range vms {
		if region := vm.Settings.VM.Region; !regions[region] && len(chosen) < vmsDrained {
			regions[region] = true
			chosen = append(chosen, vm)
		}
	}
	return chosen
}

// busiestTargets returns the busiest target of each service over the last
// time, the services in the document's order.
func (d *drains) busiestTargets() []*cluster.Target {
	since := time.Now().Add(-busyOver)
	work := make(map[string]int)
	for _, r := range d.cluster.Log.Records() {
		if r.Arrived.After(since) {
			work[r.Target]++
		}
	}
	var busiest []*cluster.Target
	for _, svc := range d.services {
		targets := d.cluster.Services[svc]
		busiest = append(busiest, slices.MaxFunc(targets, func(a, b *cluster.Target) int {
			return cmp.Compare(work[a.Name()], work[b.Name()])
		}))
	}
	return busiest
}

// countUploads counts the slow uploads that each drain met.
func (d *drains) countUploads() {
	for _, n := range d.cluster.Notes.Tries() {
		for i := range d.vms {
			vm := &d.vms[i]
			if n.Shape == slowUploadShape && n.VM == vm.VM && n.Started.Before(vm.at) && n.Ended.After(vm.at) {
				vm.Uploads++
			}
		}
	}
}

func describe(err error) string {
	if err == nil {
		return ""
	}
	return fmt.Sprint(err)
}
