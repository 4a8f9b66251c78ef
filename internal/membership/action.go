package membership

import "time"

// Action is an effect that the Machine requests.
type Action interface{ action() }

// SendHeartbeat sends a heartbeat to a member.
type SendHeartbeat struct {
	To        string
	Heartbeat *Heartbeat
}

// CallJoin sends a join request to a daemon; the result goes to Joined.
type CallJoin struct {
	Candidate Candidate
	Request   JoinRequest
}

// LearnAddress sets a member's peer address; empty: it is forgotten.
type LearnAddress struct {
	VM      string
	Address string
}

// ReportAwake reports a pause of this process. State and grants from others are older by it.
type ReportAwake struct {
	Away time.Duration
}

// ReportState reports a member's changed state.
type ReportState struct {
	Name  string
	State State
}

// ReportOneWay reports that a neighbor's heartbeats arrive but ours do not, or the end of it.
type ReportOneWay struct {
	Peer string
	Over bool
}

// ReportRenewed reports a higher incarnation of this daemon, as others hold the previous one
// for gone or surpassed.
type ReportRenewed struct {
	Incarnation uint64
}

// ReportJoined reports that the daemon is a member. Alone means that no other one answered.
type ReportJoined struct {
	Alone bool
}

func (SendHeartbeat) action() {}
func (CallJoin) action()      {}
func (LearnAddress) action()  {}
func (ReportAwake) action()   {}
func (ReportState) action()   {}
func (ReportOneWay) action()  {}
func (ReportRenewed) action() {}
func (ReportJoined) action()  {}
