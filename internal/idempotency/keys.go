package idempotency

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"

	"masticturn/internal/config"
	"masticturn/internal/kernel"
	"masticturn/internal/outcome"
	"masticturn/internal/peer"
	"masticturn/internal/platform"
	"masticturn/internal/telemetry"
)

// ServiceName is the name under which the service is registered.
const ServiceName = "idempotency.keys"

// Bounds that hold whatever the document says.
const (
	ticketLife     = time.Hour
	ticketRenew    = 5 * time.Minute // age at which tickets are replaced by younger ones
	ticketRetry    = 2 * time.Second // until a VM that gave no ticket is asked again
	defaultBytes   = 32 << 20
	defaultKeep    = 15 * time.Minute
	maxTokens      = 16384            // abandoned tokens that are remembered
	backgroundTime = 10 * time.Second // one write of a run's end to the platform or its owner
	backgroundMax  = 256              // such writes at once; above, memory alone knows the end
)

// Deps is what Keys needs.
type Deps struct {
	Self    Instance
	Store   platform.Store
	Network peer.Network
	Config  config.Source
	Clock   kernel.Clock
	Logger  *telemetry.Logger
	Metrics *metrics.Set
}

// Keys claims keys: in this process's memory or its owner's when the key
// begins with a ticket, else in the platform.
type Keys struct {
	deps       Deps
	startedAt  time.Time
	background chan struct{}
	claims     map[string]*metrics.Counter

	mu        sync.Mutex
	ledger    *ledger             // guarded by mu
	pending   map[string]struct{} // tokens of claims under way; guarded by mu
	abandoned *tokenSet           // tokens whose claim may still take effect, never to run; guarded by mu
	tickets   map[Instance]Ticket // of other instances; guarded by mu
	asking    map[Instance]bool   // tickets being fetched; guarded by mu
	wanted    map[Instance]bool   // members whose tickets are fetched until they come; guarded by mu
	changed   []func()            // called when there are new tickets; set before Start
}

var (
	_ Registry       = (*Keys)(nil)
	_ kernel.Service = (*Keys)(nil)
)

// NewKeys returns the keys of this process instance. It registers the handler
// of peer.KindKeyOwner, so that it must be called before the network starts.
func NewKeys(d Deps) (*Keys, error) {
	if err := d.Self.Validate(); err != nil {
		return nil, trace.Wrap(err)
	}
	k := &Keys{
		deps:       d,
		startedAt:  d.Clock.Now(),
		background: make(chan struct{}, backgroundMax),
		ledger:     newLedger(),
		pending:    make(map[string]struct{}),
		abandoned:  newTokenSet(maxTokens),
		tickets:    make(map[Instance]Ticket),
		asking:     make(map[Instance]bool),
	}
	k.claims = map[string]*metrics.Counter{}
	for _, way := range []string{wayLocal, wayRemote, wayStored} {
		k.claims[way] = d.Metrics.GetOrCreateCounter(`masticturn_key_claims_total{way="` + way + `"}`)
	}
	if d.Network != nil {
		d.Network.Handle(peer.KindKeyOwner, k.serveOwner)
	}
	return k, nil
}

// The ways of claiming, as a metric's label.
const (
	wayLocal  = "local"
	wayRemote = "owner"
	wayStored = "platform"
)

// Provision implements kernel.Service.
func (k *Keys) Provision(*kernel.Kernel) error { return nil }

// Start implements kernel.Service.
func (k *Keys) Start(ctx context.Context) error {
	go k.renewTickets(ctx)
	return nil
}

// Drain implements kernel.Service: it waits for runs' ends that are still
// being written.
func (k *Keys) Drain(ctx context.Context) error {
	for range backgroundMax {
		select {
		case k.background <- struct{}{}:
		case <-ctx.Done():
			return trace.Wrap(ctx.Err(), "write the ends of keyed runs")
		}
	}
	for range backgroundMax {
		<-k.background
	}
	return nil
}

// Stop implements kernel.Service.
func (k *Keys) Stop(context.Context) error { return nil }

// now is the time since this instance started.
func (k *Keys) now() time.Duration { return k.deps.Clock.Now().Sub(k.startedAt) }

// bounds returns what may be kept.
func (k *Keys) bounds() Bounds {
	b := Bounds{Bytes: defaultBytes, Keep: defaultKeep, Ticket: ticketLife}
	snap := k.deps.Config.Current()
	if snap == nil {
		return b
	}
	limits := &snap.Document.Limits
	if limits.RecordedAnswersBytes > 0 {
		b.Bytes = limits.RecordedAnswersBytes
	}
	if limits.RecordedAnswersMS > 0 {
		b.Keep = limits.RecordedAnswersMS.Duration()
	}
	return b
}

// Claim implements Registry.
func (k *Keys) Claim(ctx context.Context, r *Request) (Claim, error) {
	t, ok := ParseKey(r.Key)
	switch {
	case !ok:
		k.claims[wayStored].Inc()
		return k.claimStored(ctx, r)
	case t.Instance == k.deps.Self:
		k.claims[wayLocal].Inc()
		return k.claimLocal(ctx, r, t)
	case t.VM == k.deps.Self.VM:
		return nil, refusal(VerdictGone, t.VM, nil)
	}
	k.claims[wayRemote].Inc()
	return k.claimRemote(ctx, r, t)
}

// keyName is the name of a key over all services.
func keyName(r *Request) string { return r.Service + "/" + r.Key }

func newToken() string { return rand.Text() }

// replayed is a Claim with a recorded answer.
type replayed struct{ answer *Answer }

// Replay implements Claim.
func (r replayed) Replay() *Answer { return r.answer }

// Finish implements Claim; there is no run.
func (r replayed) Finish(outcome.Outcome, *Answer) {}

// claimLocal claims a key that this instance owns.
func (k *Keys) claimLocal(ctx context.Context, r *Request, t Ticket) (Claim, error) {
	key, token := keyName(r), newToken()
	for {
		k.mu.Lock()
		v, e := k.ledger.claim(k.now(), key, token, r.Fingerprint, t.Issued, k.bounds())
		var answer *Answer
		var done <-chan struct{}
		if e != nil {
			answer, done = e.answer, e.done
		}
		k.mu.Unlock()
		switch v {
		case VerdictRun:
			return &localRun{k: k, key: key, token: token}, nil
		case VerdictReplay:
			return replayed{answer}, nil
		case VerdictBusy:
			if !ended(ctx, done) {
				return nil, refusal(VerdictBusy, "", context.Cause(ctx))
			}
		default:
			return nil, refusal(v, "", nil)
		}
	}
}

// ended waits for done; false when the context ended first.
func ended(ctx context.Context, done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// localRun is a run under a key of this instance.
type localRun struct {
	k          *Keys
	key, token string
}

// Replay implements Claim.
func (*localRun) Replay() *Answer { return nil }

// Finish implements Claim.
func (r *localRun) Finish(o outcome.Outcome, a *Answer) { r.k.finish(r.key, r.token, o, a) }

func (k *Keys) finish(key, token string, o outcome.Outcome, a *Answer) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ledger.finish(k.now(), key, token, o, a, k.bounds())
}

// inBackground runs f, which tells others of a run's end, within bounds.
func (k *Keys) inBackground(f func(ctx context.Context)) {
	select {
	case k.background <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-k.background }()
		ctx, cancel := context.WithTimeout(context.Background(), backgroundTime)
		defer cancel()
		f(ctx)
	}()
}
