package ratelimit

// report is the request of peer.KindLimitReport, which a holder sends to the granter.
type report struct {
	Incarnation uint64 // of the sender's process
	Number      uint64 // increases with every report of the process
	Entries     []reportEntry
}

// reportEntry asks for a share of a customer's budget.
type reportEntry struct {
	Customer string
	Demand   float64 // requests/s
	Rate     float64 // requests/s of the share in force; 0: none
	Burst    int     // of the share in force
}

// share returns the share in force at the sender; it is empty if there is none.
func (e *reportEntry) share() Share { return Share{e.Rate, e.Burst} }

// reportResponse is the response to a report. Its shares are valid for shareTTL from the time at which
// the report was sent.
type reportResponse struct {
	Term    uint64
	Entries []grantEntry
}

// grantEntry grants a share of a customer's budget.
type grantEntry struct {
	Customer string
	Rate     float64 // requests/s
	Burst    int
	Fill     int // tokens that a new bucket starts with
}

// takeRequest is the request of peer.KindLimitTake, which asks a holder for a token for one request of
// a customer.
type takeRequest struct {
	Customer string
}

// takeResponse is the response to a takeRequest.
type takeResponse struct {
	Result takeResult
	WaitMS uint32 // time until a token is expected, if the limit is reached
}

// takeResult is the result of an attempt to take a token.
type takeResult uint8

const (
	resultUnknown takeResult = iota // the holder has no share
	resultTaken
	resultOverLimit // the limit is reached
)

// String returns the value of the metric label.
func (r takeResult) String() string {
	switch r {
	case resultTaken:
		return "allowed"
	case resultOverLimit:
		return "over"
	}
	return "unknown"
}
