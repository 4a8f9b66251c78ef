package bench

import (
	"context"
	"encoding/json"
	"time"

	"github.com/gravitational/trace"

	"masticturn/internal/bench/cluster"
	"masticturn/internal/config"
	"masticturn/internal/edge"
	"masticturn/internal/platform"
	"masticturn/internal/standin/target"
)

// LeaveSign is a way to learn that a target is leaving.
type LeaveSign string

// The signs. Each is given alone, while the others say that all is well.
const (
	SignDocument LeaveSign = "document" // the operators' document says so
	SignPlatform LeaveSign = "platform" // the platform's list of targets says so
	SignHealth   LeaveSign = "health"   // its health endpoint says so; it still runs what it gets
	SignShed     LeaveSign = "shed"     // it sheds, and says so on its answers
)

// TargetLeave tells what came of one sign.
type TargetLeave struct {
	Target     string    `json:"target"`
	Sign       LeaveSign `json:"sign"`
	StoreDown  bool      `json:"store_down"`
	Before     int       `json:"before"`       // requests in as long a time before the sign
	LastWorkMS float64   `json:"last_work_ms"` // last new work after the sign; 0: none
	After      int       `json:"after"`        // new work after the quiet time
	Error      string    `json:"error,omitempty"`
}

// leave gives one sign about a target, watches, and takes the sign back.
func (d *drains) leave(ctx context.Context, t *cluster.Target, sign LeaveSign) TargetLeave {
	result := TargetLeave{Target: t.Name(), Sign: sign}
	at := time.Now()
	d.cluster.Note(cluster.TargetLeaves, "", t.Name(), string(sign))
	err := d.give(ctx, t, sign, true)
	time.Sleep(signsFor)
	until := time.Now()
	d.cluster.Note(cluster.TargetReturns, "", t.Name(), string(sign))
	err = trace.NewAggregate(err, d.give(ctx, t, sign, false))
	for _, r := range d.cluster.Log.Records() {
		result.count(&r, at, until, d.quiet)
	}
	if result.Before == 0 {
		err = trace.NewAggregate(err, trace.BadParameter("the target had no work before the sign, which shows nothing"))
	}
	result.Error = describe(err)
	return result
}

// count counts one request at the target of the sign.
func (l *TargetLeave) count(r *target.Record, at, until time.Time, quiet time.Duration) {
	if r.Target != l.Target || r.Arrived.After(until) {
		return
	}
	after := r.Arrived.Sub(at)
	switch {
	case after < -until.Sub(at):
	case after < 0:
		l.Before++
	default:
		l.LastWorkMS = max(l.LastWorkMS, millisOf(int64(after)))
		if after > quiet {
			l.After++
		}
	}
}

// give gives a sign or takes it back.
func (d *drains) give(ctx context.Context, t *cluster.Target, sign LeaveSign, leaving bool) error {
	switch sign {
	case SignDocument:
		return d.cluster.Apply(ctx, func(doc *config.Document) { setLeaving(doc, t.Name(), leaving) })
	case SignPlatform:
		value, err := json.Marshal(edge.TargetRecord{Name: t.Name(), Leaving: leaving})
		if err != nil {
			return trace.Wrap(err)
		}
		d.cluster.Store.Put(platform.KindTargets, t.Name(), value)
	case SignHealth:
		status := edge.TargetOK
		if leaving {
			status = edge.TargetDraining
		}
		t.SetReport(target.Report{Health: &edge.TargetHealth{Status: status}})
	case SignShed:
		t.SetReport(target.Report{Health: &edge.TargetHealth{Status: edge.TargetOK}})
		t.SetDraining(leaving)
	}
	return nil
}

func setLeaving(doc *config.Document, name string, leaving bool) {
	for i := range doc.Services {
		for j := range doc.Services[i].Targets {
			if t := &doc.Services[i].Targets[j]; t.Name == name {
				t.Leaving = leaving
			}
		}
	}
}
