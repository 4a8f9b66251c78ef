package edge

// Paths of the operator edge. All but the last three need a bearer token.
const (
	PathOperatorConfig   = "/api/v1/config"          // GET in force; PUT apply with If-Match: generation
	PathOperatorValidate = "/api/v1/config/validate" // POST a document
	PathOperatorDiff     = "/api/v1/config/diff"     // POST a document: diff against the one in force
	PathOperatorHistory  = "/api/v1/config/history"  // GET
	PathOperatorInForce  = "/api/v1/config/in-force" // GET ?generation=: counts and stragglers
	PathOperatorStatus   = "/api/v1/status"          // GET
	PathOperatorDrain    = "/api/v1/drain"           // POST: drain this VM
	PathConsole          = "/console/"
	PathMetrics          = "/metrics"
	PathHealthz          = "/healthz" // the process lives
	PathReadyz           = "/readyz"  // it may be given callers; says why not
)
