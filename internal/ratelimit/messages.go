package ratelimit

// report is the message of peer.KindLimitReport, a call to the granter.
type report struct {
	Incarnation uint64 // of the sender's process
	Number      uint64 // increases with each report of the process
	Entries     []reportEntry
}

// reportEntry asks for a share of a customer's budget.
type reportEntry struct {
	Customer string
	Demand   float64 // requests/s
	Rate     float64 // of the share in force; 0: none
	Burst    int
}

func (e *reportEntry) held() Share { return Share{e.Rate, e.Burst} }

// grants is the answer to a report. Its shares hold for shareTTL from the sending of the report.
type grants struct {
	Term    uint64
	Entries []grantEntry
}

// grantEntry is a share of a customer's budget.
type grantEntry struct {
	Customer string
	Rate     float64
	Burst    int
	Fill     int // tokens that a new bucket starts with
}

// takeRequest is the message of peer.KindLimitTake, a call to a holder: one request of a customer.
type takeRequest struct {
	Customer string
}

// takeAnswer is its answer.
type takeAnswer struct {
	Result verdict
	WaitMS uint32 // until a token is expected, if the limit is reached
}

// verdict is the result of taking a token.
type verdict uint8

const (
	verdictUnknown verdict = iota // the holder has no share
	verdictTaken
	verdictOver // the limit is reached
)

// String returns the name used in metrics.
func (v verdict) String() string {
	switch v {
	case verdictTaken:
		return "allowed"
	case verdictOver:
		return "over"
	}
	return "unknown"
}
