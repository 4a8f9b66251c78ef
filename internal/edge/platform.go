package edge

// Paths and headers of the platform's object API.
const (
	PathPlatformObjects = "/v1/objects/" // + kind [+ "/" + name]: GET, PUT, DELETE
	PathPlatformWatch   = "/v1/watch/"   // + kind: GET with ?since=&timeout_ms=

	HeaderIfMatch     = "If-Match"         // version the write expects
	HeaderIfNoneMatch = "If-None-Match"    // "*": create only
	HeaderVersion     = "Platform-Version" // version of the object, list or watch

	HeaderNotDone = "Platform-Not-Done" // "1" on an error answer: the write surely took no effect

	QuerySince     = "since"
	QueryTimeoutMS = "timeout_ms"
)

// IfNoneMatchAny is the value of HeaderIfNoneMatch for a create.
const IfNoneMatchAny = "*"

// WatchQuery is the query of a watch.
type WatchQuery struct {
	Since     uint64 `url:"since"`      // QuerySince: version to wait from
	TimeoutMS int64  `url:"timeout_ms"` // QueryTimeoutMS: how long the platform may hold the call
}

// VMRecord is the value of an object of the platform's list of VMs. The list
// lags behind reality.
type VMRecord struct {
	Name          string `json:"name"`
	Zone          string `json:"zone"`
	PeerAddress   string `json:"peer_address"`
	CallerAddress string `json:"caller_address"`
	Leaving       bool   `json:"leaving"`
}

// TargetRecord is the value of an object of the platform's list of targets.
type TargetRecord struct {
	Name    string `json:"name"`
	Leaving bool   `json:"leaving"`
}
