package membership

import "time"

// Action is a side effect that the StateMachine requests from its caller.
type Action interface{ action() }

// SendHeartbeat sends a heartbeat to a member.
type SendHeartbeat struct {
	To        string
	Heartbeat *Heartbeat
}

// CallJoin sends a join request to a daemon. Its response must be passed to HandleJoinResponse.
type CallJoin struct {
	Candidate Candidate
	Request   JoinRequest
}

// SetPeerAddress sets a member's peer address. An empty address removes it.
type SetPeerAddress struct {
	VM      string
	Address string
}

// ReportPause reports that this process was paused. State and grants received from other daemons are
// older by that duration.
type ReportPause struct {
	Duration time.Duration
}

// ReportState reports that a member's state changed.
type ReportState struct {
	Name  string
	State State
}

// ReportOneWay reports that a neighbor's heartbeats arrive but it does not receive ours, or that the
// link has recovered.
type ReportOneWay struct {
	Peer      string
	Recovered bool
}

// ReportNewIncarnation reports that this daemon took a higher incarnation because the previous one
// is considered gone or superseded.
type ReportNewIncarnation struct {
	Incarnation uint64
}

// ReportJoined reports that this daemon became a member. Alone means that no other daemon responded.
type ReportJoined struct {
	Alone   bool
	Peer    string // the daemon that responded; empty: none
	Members int    // number of records that this daemon knows now
}

func (SendHeartbeat) action()        {}
func (CallJoin) action()             {}
func (SetPeerAddress) action()       {}
func (ReportPause) action()          {}
func (ReportState) action()          {}
func (ReportOneWay) action()         {}
func (ReportNewIncarnation) action() {}
func (ReportJoined) action()         {}
