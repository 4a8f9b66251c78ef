package target

import (
	"encoding/json"
	"net/http"
	"time"

	"masticturn/internal/edge"
)

// Report is how a target speaks of itself on its health and load endpoints.
// The zero value tells the truth.
type Report struct {
	Stopped bool               // the endpoints take requests and never answer
	Lag     time.Duration      // the load told is up to that old
	Load    *edge.TargetLoad   // told instead of the truth
	Health  *edge.TargetHealth // told instead of the truth
}

// laggedLoad is the load last told under a lag.
type laggedLoad struct {
	load  edge.TargetLoad
	taken time.Time
}

// SetReport sets what the endpoints tell.
func (t *Target) SetReport(r Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.report = r
	t.lagged = laggedLoad{}
}

// Load returns the true load.
func (t *Target) Load() edge.TargetLoad {
	return edge.TargetLoad{
		InFlight: int(t.inFlight.Load()),
		Slots:    t.opts.Slots,
		Queued:   int(t.queued.Load()),
	}
}

func (t *Target) serveHealth(w http.ResponseWriter, r *http.Request) {
	stopped, health := t.toldHealth()
	if stopped {
		swallow(r)
	}
	json.NewEncoder(w).Encode(health)
}

func (t *Target) toldHealth() (stopped bool, health edge.TargetHealth) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.report.Health != nil:
		health = *t.report.Health
	case t.draining:
		health.Status = edge.TargetDraining
	case time.Now().Before(t.warmSince):
		health.Status = edge.TargetCold
	default:
		health.Status = edge.TargetOK
	}
	return t.report.Stopped, health
}

func (t *Target) serveLoad(w http.ResponseWriter, r *http.Request) {
	stopped, load := t.toldLoad()
	if stopped {
		swallow(r)
	}
	json.NewEncoder(w).Encode(load)
}

func (t *Target) toldLoad() (stopped bool, load edge.TargetLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.report.Load != nil {
		return t.report.Stopped, *t.report.Load
	}
	if t.report.Lag == 0 || time.Since(t.lagged.taken) > t.report.Lag {
		t.lagged = laggedLoad{load: t.Load(), taken: time.Now()}
	}
	return t.report.Stopped, t.lagged.load
}
