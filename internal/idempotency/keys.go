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

// The document does not set these values, except where noted.
const (
	ticketLifetime      = time.Hour
	ticketRenewInterval = 5 * time.Minute  // period of renewal
	ticketRetryDelay    = 2 * time.Second  // delay after a failed fetch
	defaultMaxBytes     = 32 << 20         // unless set in the document
	defaultRetention    = 15 * time.Minute // unless set in the document
	maxAbandonedTokens  = 16384
	backgroundTimeout   = 10 * time.Second // for writing one outcome to the platform or the key's owner
	maxBackgroundWrites = 256              // concurrent writes; further outcomes are kept in memory only
)

// Deps are the dependencies of Keys.
type Deps struct {
	Self    Instance
	Store   platform.Store
	Network peer.Network
	Config  config.Source
	Clock   kernel.Clock
	Logger  *telemetry.Logger
	Metrics *metrics.Set
}

// Keys implements Registry. A key that begins with a ticket is claimed in the memory of
// the instance that issued the ticket, any other key in the platform store.
type Keys struct {
	deps            Deps
	startedAt       time.Time
	backgroundSlots chan struct{}
	claims          map[string]*metrics.Counter

	mu          sync.Mutex
	ledger      *ledger             // guarded by mu
	pending     map[string]struct{} // tokens of claims in progress; guarded by mu
	abandoned   *tokenSet           // tokens that will not run although their claim may be stored; guarded by mu
	tickets     map[Instance]Ticket // of other instances; guarded by mu
	fetching    map[Instance]bool   // tickets being fetched; guarded by mu
	wanted      map[Instance]bool   // instances whose tickets are fetched until one arrives; guarded by mu
	subscribers []func()            // called when there are new tickets; set before Start
}

var (
	_ Registry       = (*Keys)(nil)
	_ kernel.Service = (*Keys)(nil)
)

// NewKeys returns the registry of this process instance. It registers the handler of
// peer.KindKeyOwner and must therefore be called before the network starts.
func NewKeys(d Deps) (*Keys, error) {
	if err := d.Self.Validate(); err != nil {
		return nil, trace.Wrap(err)
	}
	k := &Keys{
		deps:            d,
		startedAt:       d.Clock.Now(),
		backgroundSlots: make(chan struct{}, maxBackgroundWrites),
		ledger:          newLedger(),
		pending:         make(map[string]struct{}),
		abandoned:       newTokenSet(maxAbandonedTokens),
		tickets:         make(map[Instance]Ticket),
		fetching:        make(map[Instance]bool),
	}
	k.claims = map[string]*metrics.Counter{}
	for _, way := range []string{wayLocal, wayRemote, wayStored} {
		k.claims[way] = d.Metrics.GetOrCreateCounter(`masticturn_key_claims_total{way="` + way + `"}`)
	}
	if d.Network != nil {
		d.Network.Handle(peer.KindKeyOwner, k.handleOwnerRequest)
	}
	return k, nil
}

// Values of the metric label "way": where a key is claimed.
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

// Drain implements kernel.Service. It waits for background writes of outcomes.
func (k *Keys) Drain(ctx context.Context) error {
	for range maxBackgroundWrites {
		select {
		case k.backgroundSlots <- struct{}{}:
		case <-ctx.Done():
			return trace.Wrap(ctx.Err(), "write the ends of keyed runs")
		}
	}
	for range maxBackgroundWrites {
		<-k.backgroundSlots
	}
	return nil
}

// Stop implements kernel.Service.
func (k *Keys) Stop(context.Context) error { return nil }

// now returns the time since this instance started.
func (k *Keys) now() time.Duration { return k.deps.Clock.Now().Sub(k.startedAt) }

// limits returns the limits of the ledger, from the document if it sets them.
func (k *Keys) limits() LedgerLimits {
	limits := LedgerLimits{MaxBytes: defaultMaxBytes, Retention: defaultRetention, TicketLifetime: ticketLifetime}
	snap := k.deps.Config.Current()
	if snap == nil {
		return limits
	}
	configured := &snap.Document.Limits
	if configured.RecordedAnswersBytes > 0 {
		limits.MaxBytes = configured.RecordedAnswersBytes
	}
	if configured.RecordedAnswersMS > 0 {
		limits.Retention = configured.RecordedAnswersMS.Duration()
	}
	return limits
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
		return nil, claimError(VerdictOwnerGone, t.VM, nil)
	}
	k.claims[wayRemote].Inc()
	return k.claimRemote(ctx, r, t)
}

// qualifiedKey returns the key qualified by its service.
func qualifiedKey(r *Request) string { return r.Service + "/" + r.Key }

func newToken() string { return rand.Text() }

// replayedClaim is a Claim with a recorded response.
type replayedClaim struct{ response *Response }

// Replay implements Claim.
func (r replayedClaim) Replay() *Response { return r.response }

// Finish implements Claim. It does nothing, as there is no run.
func (r replayedClaim) Finish(outcome.Outcome, *Response) {}

// claimLocal claims a key that this instance owns.
func (k *Keys) claimLocal(ctx context.Context, r *Request, t Ticket) (Claim, error) {
	key, token := qualifiedKey(r), newToken()
	for {
		k.mu.Lock()
		v, e := k.ledger.claim(k.now(), key, token, r.Fingerprint, t.Issued, k.limits())
		var response *Response
		var done <-chan struct{}
		if e != nil {
			response, done = e.response, e.done
		}
		k.mu.Unlock()
		switch v {
		case VerdictRun:
			return &localRun{k: k, key: key, token: token}, nil
		case VerdictReplay:
			return replayedClaim{response}, nil
		case VerdictBusy:
			if !waitDone(ctx, done) {
				return nil, claimError(VerdictBusy, "", context.Cause(ctx))
			}
		default:
			return nil, claimError(v, "", nil)
		}
	}
}

// waitDone waits for done. It returns false if the context ends first.
func waitDone(ctx context.Context, done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// localRun is a run with a key that this instance owns.
type localRun struct {
	k          *Keys
	key, token string
}

// Replay implements Claim.
func (*localRun) Replay() *Response { return nil }

// Finish implements Claim.
func (r *localRun) Finish(o outcome.Outcome, a *Response) { r.k.finish(r.key, r.token, o, a) }

func (k *Keys) finish(key, token string, o outcome.Outcome, a *Response) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ledger.finish(k.now(), key, token, o, a, k.limits())
}

// inBackground runs f, which writes an outcome, in a goroutine. If too many are running
// already, f is dropped.
func (k *Keys) inBackground(f func(ctx context.Context)) {
	select {
	case k.backgroundSlots <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-k.backgroundSlots }()
		ctx, cancel := context.WithTimeout(context.Background(), backgroundTimeout)
		defer cancel()
		f(ctx)
	}()
}
