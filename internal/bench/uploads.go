package bench

import (
	"context"
	"net/http"
	"runtime"
	"sync"
	"time"

	"masticturn/internal/bench/cluster"
	"masticturn/internal/config"
	"masticturn/internal/standin/caller"
	"masticturn/internal/standin/promise"
)

// UploadsOptions configures Uploads. Only Start is required.
type UploadsOptions struct {
	Start cluster.StartDaemon
	Count int           // uploads at once
	Bytes int64         // of each
	Pace  time.Duration // how long each is being sent
}

// Defaults of UploadsOptions.
const (
	defaultUploads     = 500
	defaultUploadBytes = 20 << 20
	defaultUploadPace  = 20 * time.Second
	memorySample       = 100 * time.Millisecond
	bystanderRate      = 100.0 // small reads a second beside the uploads
)

func (o *UploadsOptions) setDefaults() {
	if o.Count == 0 {
		o.Count = defaultUploads
	}
	if o.Bytes == 0 {
		o.Bytes = defaultUploadBytes
	}
	if o.Pace == 0 {
		o.Pace = defaultUploadPace
	}
}

// UploadsReport is the result of Uploads.
type UploadsReport struct {
	Uploads        int            `json:"uploads"`
	AtOnce         int            `json:"at_once"` // most that targets ran at once
	Answered       int            `json:"answered"`
	NotAnswered    int            `json:"not_answered"`
	Seconds        float64        `json:"seconds"`
	PeakMemoryMB   float64        `json:"peak_memory_mb"` // of daemon, callers and targets together: heap and stacks in use
	ReadP99MS      float64        `json:"read_p99_ms"`    // of small reads meanwhile
	Promises       promise.Report `json:"promises"`
	BrokenPromises int            `json:"broken_promises"`
}

// Uploads sends many large uploads at once through one daemon and measures
// the memory in use, and what small reads beside them notice.
func Uploads(ctx context.Context, opts UploadsOptions) (*UploadsReport, error) {
	opts.setDefaults()
	c, err := localCluster(ctx, opts.Start, true, func(doc *config.Document) {
		doc.Limits.MaxConnectionsPerAddr = 2 * opts.Count
	})
	if err != nil {
		return nil, err
	}
	defer c.Close()
	meter := startMemoryMeter()
	started := time.Now()
	loadCtx, cancel := context.WithCancel(ctx)
	var reads sync.WaitGroup
	reads.Go(func() { cluster.RunCallers(loadCtx, readers(c)) })
	uploaders(c, opts).RunAtOnce(ctx, opts.Count)
	cancel()
	reads.Wait()

	report := &UploadsReport{
		Uploads:      opts.Count,
		AtOnce:       c.Regions[localRegion].Read().High,
		Seconds:      time.Since(started).Seconds(),
		PeakMemoryMB: meter.stop(),
		Promises:     c.Check(),
	}
	report.BrokenPromises = report.Promises.Total
	for _, r := range c.Notes.Results() {
		if r.Class == uploadShape {
			report.Answered, report.NotAnswered = r.Answered, r.Requests-r.Answered
		} else {
			report.ReadP99MS = r.P99MS
		}
	}
	return report, nil
}

func readers(c *cluster.Cluster) []*caller.Caller {
	return c.Callers(caller.Options{
		Prefix: "read-",
		Shapes: []caller.Shape{pathShape(defaultAnswerBytes)},
		Rate:   bystanderRate,
	})
}

func uploaders(c *cluster.Cluster, opts UploadsOptions) *caller.Caller {
	return c.Callers(caller.Options{
		Shapes: []caller.Shape{{
			Name:        uploadShape,
			Service:     localService,
			Class:       uploadShape,
			Method:      http.MethodPut,
			Path:        localPath,
			Weight:      1,
			AnswerBytes: shortAnswer,
			BodyBytes:   opts.Bytes,
			BodyPace:    opts.Pace,
			Repeatable:  true,
		}},
		Timeout: 3 * opts.Pace,
	})[0]
}

// memoryMeter samples the memory in use.
type memoryMeter struct {
	quit chan struct{}
	done chan struct{}
	peak uint64
}

func startMemoryMeter() *memoryMeter {
	m := &memoryMeter{quit: make(chan struct{}), done: make(chan struct{})}
	go m.run()
	return m
}

func (m *memoryMeter) run() {
	defer close(m.done)
	ticker := time.NewTicker(memorySample)
	defer ticker.Stop()
	for {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		m.peak = max(m.peak, stats.HeapInuse+stats.StackInuse)
		select {
		case <-ticker.C:
		case <-m.quit:
			return
		}
	}
}

// stop returns the peak in megabytes.
func (m *memoryMeter) stop() float64 {
	close(m.quit)
	<-m.done
	return float64(m.peak) / (1 << 20)
}
