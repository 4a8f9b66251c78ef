package membership

// Phase is the phase of this daemon's membership.
type Phase uint8

// The phases, in order.
const (
	PhaseJoining Phase = iota // requests another daemon's table
	PhaseMember
	PhaseLeaving // has announced that it drains
	PhaseLeft    // has announced that it is gone
)

// String returns the name used in status and logs.
func (p Phase) String() string {
	return [...]string{"joining", "member", "leaving", "left"}[p]
}

// Step is a protocol step at which tests inject faults.
type Step uint8

// The steps of the protocol.
const (
	StepJoin      Step = iota // a joining daemon requests another daemon's table
	StepHeartbeat             // heartbeats within a region
	StepRelay                 // heartbeats between the relays of regions
	StepSuspect               // a silent member is suspect
	StepLeave                 // a member announces that it is leaving
)

// String returns the name used in tests and documentation.
func (s Step) String() string {
	return [...]string{"join", "heartbeat", "relay", "suspect", "leave"}[s]
}

// Steps returns all steps.
func Steps() []Step { return []Step{StepJoin, StepHeartbeat, StepRelay, StepSuspect, StepLeave} }
