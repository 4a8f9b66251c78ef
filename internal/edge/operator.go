package edge

import (
	"encoding/json"
	"time"
)

// Paths of the operator edge. All but the last three need a bearer token.
const (
	PathOperatorConfig   = "/api/v1/config"          // GET in force; PUT apply with If-Match: generation
	PathOperatorValidate = "/api/v1/config/validate" // POST a document
	PathOperatorDiff     = "/api/v1/config/diff"     // POST a document: diff against the one in force
	PathOperatorHistory  = "/api/v1/config/history"  // GET
	PathOperatorSchema   = "/api/v1/config/schema"   // GET: JSON Schema of the document
	PathOperatorInForce  = "/api/v1/config/in-force" // GET ?generation=: counts and stragglers
	PathOperatorStatus   = "/api/v1/status"          // GET
	PathOperatorDrain    = "/api/v1/drain"           // POST: drain this VM
	PathConsole          = "/console/"
	PathMetrics          = "/metrics"
	PathHealthz          = "/healthz" // the process lives
	PathReadyz           = "/readyz"  // it may be given callers; says why not
)

// HeaderIfMatch names the generation that an apply started from.
const HeaderIfMatch = "If-Match"

// Names of query parameters of the operator edge.
const (
	QueryEffective  = "effective"  // "true": with the defaults filled in
	QueryGeneration = "generation" // a generation of the history
	QueryAuthor     = "author"     // who applies a document
	QueryComment    = "comment"    // why
)

// OperatorCode says what an OperatorError is about.
type OperatorCode string

// The codes of errors on the operator edge.
const (
	CodeBadRequest OperatorCode = "bad_request"
	CodeInvalid    OperatorCode = "invalid"     // the document has faults
	CodeConflict   OperatorCode = "conflict"    // another document was accepted since the base
	CodeUnknown    OperatorCode = "unknown"     // the write may have taken effect, or may yet
	CodeNotStored  OperatorCode = "not_stored"  // the store does not answer; nothing was changed
	CodeNotFound   OperatorCode = "not_found"   // no such generation
	CodeNoDocument OperatorCode = "no_document" // none is in force here
)

// OperatorError is the JSON body of every error answer about the document.
type OperatorError struct {
	Code     OperatorCode    `json:"code"`
	Message  string          `json:"message"`
	Faults   []ConfigFault   `json:"faults,omitempty"`   // with CodeInvalid
	Conflict *ConfigConflict `json:"conflict,omitempty"` // with CodeConflict
	WriteID  string          `json:"write_id,omitempty"` // with CodeUnknown
}

// Error implements error, for clients.
func (e *OperatorError) Error() string { return string(e.Code) + ": " + e.Message }

// ConfigAnswer is a document with its generation.
type ConfigAnswer struct {
	Generation uint64          `json:"generation"`
	Hash       string          `json:"hash"` // hexadecimal
	Document   json.RawMessage `json:"document"`
}

// ConfigFault is one fault of a document.
type ConfigFault struct {
	Path    string `json:"path"`
	Value   string `json:"value"`
	Allowed string `json:"allowed"`
	Line    int    `json:"line,omitempty"`
}

// ConfigValid is the answer to a valid document.
type ConfigValid struct {
	Warnings []ConfigFault `json:"warnings"` // allowed, but probably not meant
}

// ConfigChange is one difference between two documents.
type ConfigChange struct {
	Kind    string `json:"kind"` // added, removed, modified, moved
	Subject string `json:"subject"`
	Field   string `json:"field,omitempty"`
	Before  string `json:"before,omitempty"`
	After   string `json:"after,omitempty"`
	Text    string `json:"text"` // as a line to be read
}

// ConfigDiff is the difference of a document to the one in force.
type ConfigDiff struct {
	Generation uint64         `json:"generation"` // compared with
	Changes    []ConfigChange `json:"changes"`
}

// ConfigConflict tells a losing operator what was accepted meanwhile.
type ConfigConflict struct {
	Base    uint64         `json:"base"`
	Current ConfigRecord   `json:"current"`
	Theirs  []ConfigChange `json:"theirs"` // from the base to the current document
	Yours   []ConfigChange `json:"yours"`  // from the base to the document refused
}

// ConfigApplied is the answer to an accepted document.
type ConfigApplied struct {
	Record    ConfigRecord `json:"record"`
	Unchanged bool         `json:"unchanged"` // it was in force already
}

// ConfigRecord is one accepted generation.
type ConfigRecord struct {
	Generation uint64    `json:"generation"`
	WriteID    string    `json:"write_id"`
	Hash       string    `json:"hash"` // hexadecimal
	Author     string    `json:"author"`
	Comment    string    `json:"comment"`
	AcceptedAt time.Time `json:"accepted_at"`
	Bytes      int       `json:"bytes"`
	Kept       bool      `json:"kept"` // its document can still be read
}

// ConfigHistory is the list of accepted generations, newest first.
type ConfigHistory struct {
	Records []ConfigRecord `json:"records"`
}

// ConfigInForce tells how many daemons have a generation or a higher one in
// force, as heartbeats tell.
type ConfigInForce struct {
	Generation uint64         `json:"generation"`
	Daemons    int            `json:"daemons"`
	InForce    int            `json:"in_force"`
	Stragglers []ConfigDaemon `json:"stragglers"`
}

// ConfigDaemon is one daemon with what it has in force.
type ConfigDaemon struct {
	Name       string `json:"name"`
	Zone       string `json:"zone"`
	Region     string `json:"region"`
	State      string `json:"state"`
	Generation uint64 `json:"generation"`
}
