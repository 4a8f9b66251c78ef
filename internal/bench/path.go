package bench

import (
	"context"
	"net/http"
	"runtime"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"masticturn/internal/bench/cluster"
	"masticturn/internal/config"
	"masticturn/internal/standin/caller"
	"masticturn/internal/standin/promise"
)

// PathOptions configures Path. Only Start is required.
type PathOptions struct {
	Start       cluster.StartDaemon
	Requests    int           // one after the other, for the added latency
	Duration    time.Duration // of the load for the throughput
	Workers     int           // requests at once in that load
	AnswerBytes int64         // length of each answer
	Seed        uint64
}

// Defaults of PathOptions.
const (
	defaultPathRequests = 3000
	defaultPathDuration = 4 * time.Second
	defaultPathWorkers  = 64
	defaultAnswerBytes  = 1 << 10
)

func (o *PathOptions) setDefaults() {
	if o.Requests == 0 {
		o.Requests = defaultPathRequests
	}
	if o.Duration == 0 {
		o.Duration = defaultPathDuration
	}
	if o.Workers == 0 {
		o.Workers = defaultPathWorkers
	}
	if o.AnswerBytes == 0 {
		o.AnswerBytes = defaultAnswerBytes
	}
}

// PathReport is the result of Path.
type PathReport struct {
	AddedP50MS        float64        `json:"added_p50_ms"` // caller's time less the target's, no load
	AddedP99MS        float64        `json:"added_p99_ms"`
	RequestsPerSecond float64        `json:"requests_per_second"`
	P50MS             float64        `json:"p50_ms"` // under that load
	P99MS             float64        `json:"p99_ms"`
	AllocsPerRequest  float64        `json:"allocs_per_request"` // of caller, daemon and target together
	BytesPerRequest   float64        `json:"bytes_per_request"`  // allocated, likewise
	DirectPerSecond   float64        `json:"direct_per_second"`  // the same load with no daemon between
	DirectAllocs      float64        `json:"direct_allocs_per_request"`
	Answered          int            `json:"answered"`
	NotAnswered       int            `json:"not_answered"`
	Promises          promise.Report `json:"promises"`
	BrokenPromises    int            `json:"broken_promises"`
}

// Path measures the request path of one daemon: the latency it adds at no
// load, and its throughput with the allocations of a request.
func Path(ctx context.Context, opts PathOptions) (*PathReport, error) {
	opts.setDefaults()
	report := &PathReport{}
	if err := measureAdded(ctx, opts, report); err != nil {
		return nil, err
	}
	if err := measureThroughput(ctx, opts, report); err != nil {
		return nil, err
	}
	return report, nil
}

func localCluster(ctx context.Context, start cluster.StartDaemon, keepLogs bool, changes ...func(*config.Document)) (*cluster.Cluster, error) {
	doc := localDocument()
	for _, change := range changes {
		change(doc)
	}
	return cluster.New(ctx, cluster.Options{
		Document: doc,
		Start:    start,
		VMs:      1,
		Direct:   true,
		Instant:  true,
		KeepLogs: keepLogs,
	})
}

func pathShape(answerBytes int64) caller.Shape {
	return caller.Shape{
		Name:        "get",
		Service:     localService,
		Class:       localClass,
		Method:      http.MethodGet,
		Path:        localPath,
		Weight:      1,
		AnswerBytes: answerBytes,
		Repeatable:  true,
	}
}

// measureAdded sends requests one after the other and subtracts the time that
// each spent inside its target.
func measureAdded(ctx context.Context, opts PathOptions, report *PathReport) error {
	c, err := localCluster(ctx, opts.Start, true)
	if err != nil {
		return err
	}
	defer c.Close()
	one := c.Callers(caller.Options{Shapes: []caller.Shape{pathShape(opts.AnswerBytes)}})[0]
	one.RunCount(ctx, opts.Requests)
	report.add(c)

	inside := make(map[string]time.Duration)
	for _, r := range c.Log.Records() {
		inside[r.RequestID] = r.Finished.Sub(r.Arrived)
	}
	added := hdrhistogram.New(1, int64(time.Minute), 3)
	for _, n := range c.Notes.Tries() {
		if n.Told == caller.ToldAnswered {
			added.RecordValue(int64(n.Ended.Sub(n.Started) - inside[n.RequestID]))
		}
	}
	report.AddedP50MS = millisOf(added.ValueAtQuantile(50))
	report.AddedP99MS = millisOf(added.ValueAtQuantile(99))
	return nil
}

func millisOf(nanos int64) float64 { return float64(nanos) / float64(time.Millisecond) }

// measureThroughput runs workers through the daemon and then straight at a
// target.
func measureThroughput(ctx context.Context, opts PathOptions, report *PathReport) error {
	c, err := localCluster(ctx, opts.Start, false)
	if err != nil {
		return err
	}
	defer c.Close()
	callerOpts := caller.Options{Shapes: []caller.Shape{pathShape(opts.AnswerBytes)}}
	through := c.Callers(callerOpts)[0]
	load := runClosed(ctx, through, opts)
	report.RequestsPerSecond, report.AllocsPerRequest, report.BytesPerRequest = load.rate, load.allocs, load.bytes
	results := c.Notes.Histogram("")
	report.P50MS = float64(results.ValueAtQuantile(50)) / microsPerMilli
	report.P99MS = float64(results.ValueAtQuantile(99)) / microsPerMilli
	report.add(c)

	callerOpts.Fixed = c.Targets[0].Address()
	direct := runClosed(ctx, c.Callers(callerOpts)[0], opts)
	report.DirectPerSecond, report.DirectAllocs = direct.rate, direct.allocs
	return nil
}

const microsPerMilli = 1000

// closedLoad is the result of a closed loop.
type closedLoad struct {
	rate   float64 // requests a second
	allocs float64 // for each request
	bytes  float64
}

func runClosed(ctx context.Context, c *caller.Caller, opts PathOptions) closedLoad {
	ctx, cancel := context.WithTimeout(ctx, opts.Duration)
	defer cancel()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	started := time.Now()
	sent := float64(c.RunClosed(ctx, opts.Workers))
	took := time.Since(started)
	runtime.ReadMemStats(&after)
	return closedLoad{
		rate:   sent / took.Seconds(),
		allocs: float64(after.Mallocs-before.Mallocs) / sent,
		bytes:  float64(after.TotalAlloc-before.TotalAlloc) / sent,
	}
}

// add adds a cluster's outcomes and broken promises.
func (r *PathReport) add(c *cluster.Cluster) {
	for _, result := range c.Notes.Results() {
		r.Answered += result.Answered
		r.NotAnswered += result.Requests - result.Answered
	}
	if p := c.Check(); r.BrokenPromises == 0 {
		r.Promises = p
		r.BrokenPromises = p.Total
	}
}
