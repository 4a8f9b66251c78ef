// Package admission gives each request a slot at a target: it queues by class
// with deadlines, sheds early, and asks the steering policy where to send.
package admission

import (
	"context"
	"time"

	"masticturn/internal/config"
	"masticturn/internal/edge"
	"masticturn/internal/outcome"
)

// Request is what admission needs to know of a request.
type Request struct {
	ID           string
	Service      *config.ServiceIndex
	Class        *config.Class
	Tenant       string
	Customer     string       // name of the customer that the API key identifies; empty: none
	CallerRegion string       // region of the caller, by client block or by VM
	Bytes        int64        // expected bytes of request and answer over a link; 0 unknown
	Deadline     time.Time    // when the caller gives up
	Arrived      time.Time    // when the request's head was read
	Rule         *config.Rule // nil in a document without hosts
	ObjectKey    string       // the object it is about, where targets know objects; else empty
	Exclude      []string     // targets already tried
	Retry        bool         // not the first attempt of this request
}

// Permit is a slot at a target. Release must be called exactly once.
type Permit interface {
	Target() *config.TargetIndex
	// Shifted reports whether the target is outside the caller's region.
	Shifted() bool
	Release(Result)
}

// Checked is implemented by permits that can be lost while they are held.
type Checked interface {
	// Valid reports whether the slot is still held. It is to be asked just
	// before the first byte is sent to the target; after false the permit is
	// released, nothing is sent, and another one acquired. A process that was
	// paused may have lost its slots to others.
	Valid() bool
}

// Notice is what a target announces with the head of an answer.
type Notice struct {
	Leaving bool // it is draining
	// Backoff is its Retry-After with a refusal; 0: none.
	Backoff time.Duration
}

// NoticeReceiver is implemented by permits whose admitter acts on notices at once.
type NoticeReceiver interface {
	// Notify is called between Acquire and Release.
	Notify(w Notice)
}

// RateLimit is what the head of a target's answer says of the target's rate limit.
type RateLimit struct {
	Named     bool    // the answer names a limit
	PerSecond float64 // requests/s that the target takes from all VMs together
}

// RateLimitReceiver is implemented by permits whose admitter keeps to targets' rate limits.
type RateLimitReceiver interface {
	// NotifyRateLimit is called between Acquire and Release with what an answer says,
	// and when its request was sent.
	NotifyRateLimit(l RateLimit, sentAt time.Time)
}

// Result is how a dispatch ended, with what it showed of the target.
type Result struct {
	Outcome    outcome.Outcome
	Step       outcome.Step  // where it failed; StepComplete when answered
	Connect    time.Duration // of opening a connection; 0: none was opened
	Latency    time.Duration // from sending to the answer's end
	Status     int           // HTTP status, 0 when there was none
	ShedByPeer bool          // the target said 'not run'
	Draining   bool          // the target said that it leaves
	Backoff    time.Duration // Retry-After of the target; 0: none
	InFlight   int           // load the target reported on the answer; -1 unknown
	Load       *edge.Load    // the whole of that load; nil unknown
	// Canceled: the end says nothing about the target, as the caller left or the
	// connection was stale.
	Canceled bool
	// Misdirected: another instance than expected has the target's address.
	Misdirected bool
	// NoListener: the connection was refused, so that the next listener is a new start.
	NoListener bool
}

// Admitter grants permits. The error is an *outcome.Error with outcome NotRun at
// StepAdmit, with a RetryAfter if waiting helps. It is final.
type Admitter interface {
	Acquire(ctx context.Context, r *Request) (Permit, error)
}

// Expecter is implemented by admitters that know which targets are likely to get
// requests soon.
type Expecter interface {
	// Expected returns those of them that take long to connect to.
	Expected() []*config.TargetIndex
}
