package membership

import "time"

// Action is something that the Machine wants done.
type Action interface{ action() }

// SendHeartbeat sends a heartbeat to a member.
type SendHeartbeat struct {
	To        string
	Heartbeat *Heartbeat
}

// CallJoin calls a daemon to join; the result goes to Joined or JoinFailed.
type CallJoin struct {
	Candidate Candidate
	Request   JoinRequest
}

// LearnAddress tells where a member listens; empty when it is forgotten.
type LearnAddress struct {
	VM      string
	Address string
}

// ReportAwake tells that this process was paused: what it believes of others,
// and what they granted to it, is as old as the pause at least.
type ReportAwake struct {
	Away time.Duration
}

// ReportState tells that a member is in another state.
type ReportState struct {
	Name  string
	State State
}

// ReportOneWay tells that a neighbor is heard but does not hear this daemon,
// or that this is over.
type ReportOneWay struct {
	Peer string
	Over bool
}

// ReportRenewed tells that this daemon took a higher incarnation, since the
// others believe that the one before is gone or surpassed.
type ReportRenewed struct {
	Incarnation uint64
}

// ReportJoined tells that the daemon is a member now. Alone means that no
// other daemon answered.
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
