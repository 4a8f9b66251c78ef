package admission

import (
	"time"

	"masticturn/internal/outcome"
	"masticturn/internal/steering"
)

// process is one process of a VM. A restarted daemon is another process.
type process struct {
	VM          string
	Incarnation uint64
}

// scope names what a broker is for: the targets of one service in one region.
type scope struct {
	Service string
	Region  string
}

// brokerID names one term of a broker. A process that becomes broker again,
// or wakes up after a pause, begins a new term.
type brokerID struct {
	process
	Term uint64
}

// before reports whether the term lies before another one of the same VM.
func (b brokerID) before(other brokerID) bool {
	if b.VM != other.VM {
		return false
	}
	if b.Incarnation != other.Incarnation {
		return b.Incarnation < other.Incarnation
	}
	return b.Term < other.Term
}

// ask asks a broker for a slot (peer.KindPermit). It is sent again, with the
// same Seq, until it is answered.
type ask struct {
	Scope        scope
	From         process
	Seq          uint64
	Class        string
	Tenant       string
	CallerRegion string
	Zone         string
	Bytes        int64
	Left         time.Duration // until the deadline, from the sending
	Exclude      []string
	Retry        bool
}

// decision answers an ask (peer.KindDecision). One with Seq 0 answers none: a
// broker that begins a term asks with it for the process's inventory.
type decision struct {
	Scope      scope
	Broker     brokerID
	To         process
	Seq        uint64 // of the ask
	Number     uint64 // rises with each slot that the broker gives to the process
	Target     string // empty: refused
	Shifted    bool
	Local      bool // the target is in the broker's region
	RetryAfter time.Duration
	Reason     steering.Reason
}

// release gives a slot back, or takes an ask back (peer.KindRelease).
type release struct {
	Scope  scope
	From   process
	Seq    uint64
	Unused bool // nothing was sent to the target
	Result wireResult
	Next   heldSlot // ask that has taken the slot over; Seq 0: none
	Passed uint64   // number of slots that the process has passed on so far, this one included
}

// passList tells a process which of its asks may take over the next slots that
// it would give back, in order (peer.KindPass). It replaces earlier lists.
type passList struct {
	Scope   scope
	Broker  brokerID
	To      process
	Version uint64
	Seqs    []uint64
}

// wireResult is a Result between processes.
type wireResult struct {
	Outcome    outcome.Outcome
	Step       outcome.Step
	Latency    time.Duration
	Status     int
	ShedByPeer bool
	Draining   bool
	InFlight   int
	Canceled   bool
	Backoff    time.Duration
}

// inventory tells a broker all that a process holds (peer.KindInventory).
type inventory struct {
	Scope  scope
	From   process
	Seq    uint64   // rises with each inventory of the process
	Broker brokerID // whose Number is meant
	Number uint64   // highest Number that was seen; slots up to it that are not listed are not held
	Passed uint64   // number of slots passed on; likewise
	Held   []heldSlot
}

// heldSlot is a slot that is held.
type heldSlot struct {
	Seq    uint64
	Target string
	Left   time.Duration // until the request's deadline
}

// demandMessage asks another region's broker for credits (peer.KindDemand).
type demandMessage struct {
	Scope      scope // of the broker that is asked
	FromRegion string
	Demand     steering.Demand
}

// grantMessage answers a demandMessage (peer.KindGrant).
type grantMessage struct {
	Scope    scope // of the broker that asked
	ByRegion string
	Grant    steering.Grant
}
