package membership

// Phase is the phase of this daemon's own membership.
type Phase uint8

// The phases, in order.
const (
	PhaseJoining Phase = iota // requests another daemon's table
	PhaseMember
	PhaseLeaving // announced that it drains
	PhaseLeft    // announced that it is gone
)

// String returns the name used in status and logs.
func (p Phase) String() string {
	return [...]string{"joining", "member", "leaving", "left"}[p]
}

// Step is a step of the protocol, for fault injection.
type Step uint8

// The steps of the protocol.
const (
	StepJoin      Step = iota // another daemon's table is requested
	StepHeartbeat             // heartbeats within the region
	StepRelay                 // heartbeats of relays between regions
	StepSuspect               // a silent member is suspect
	StepLeave                 // a member announces that it leaves
)

// String returns the name used in tests and pages.
func (s Step) String() string {
	return [...]string{"join", "heartbeat", "relay", "suspect", "leave"}[s]
}

// Steps returns all steps.
func Steps() []Step { return []Step{StepJoin, StepHeartbeat, StepRelay, StepSuspect, StepLeave} }
