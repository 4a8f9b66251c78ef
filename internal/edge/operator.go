package edge

import (
	"encoding/json"
	"time"
)

// Paths of the operator interface. All but the last three require a bearer token.
const (
	PathOperatorConfig   = "/api/v1/config"          // GET: document in force; PUT with If-Match: apply a document
	PathOperatorValidate = "/api/v1/config/validate" // POST: validate a document
	PathOperatorDiff     = "/api/v1/config/diff"     // POST: compare a document with the one in force
	PathOperatorHistory  = "/api/v1/config/history"  // GET: accepted generations
	PathOperatorSchema   = "/api/v1/config/schema"   // GET: JSON Schema of the document
	PathOperatorInForce  = "/api/v1/config/in-force" // GET with ?generation=: how many daemons have it in force, and the others
	PathOperatorStatus   = "/api/v1/status"          // GET: Status
	PathOperatorDrain    = "/api/v1/drain"           // POST: drain this VM
	PathConsole          = "/console/"
	PathMetrics          = "/metrics"
	PathHealthz          = "/healthz" // liveness of the process
	PathReadyz           = "/readyz"  // whether callers may use this VM, and if not, why
)

// HeaderIfMatch carries the generation on which an applied document is based.
const HeaderIfMatch = "If-Match"

// Query parameters of the operator interface.
const (
	QueryEffective  = "effective"  // "true": include default values
	QueryGeneration = "generation" // generation of a document
	QueryAuthor     = "author"     // author of an applied document
	QueryComment    = "comment"    // reason for applying it
)

// OperatorCode classifies an OperatorError.
type OperatorCode string

// Error codes of the operator interface.
const (
	CodeBadRequest OperatorCode = "bad_request"
	CodeInvalid    OperatorCode = "invalid"     // the document is invalid
	CodeConflict   OperatorCode = "conflict"    // a newer document than the base has been accepted
	CodeUnknown    OperatorCode = "unknown"     // the write may have taken effect or may still do so
	CodeNotStored  OperatorCode = "not_stored"  // the store did not respond; nothing was changed
	CodeNotFound   OperatorCode = "not_found"   // the generation does not exist
	CodeNoDocument OperatorCode = "no_document" // no document is in force at this daemon
)

// OperatorError is the JSON body of error responses about documents.
type OperatorError struct {
	Code     OperatorCode    `json:"code"`
	Message  string          `json:"message"`
	Faults   []ConfigFault   `json:"faults,omitempty"`   // with CodeInvalid
	Conflict *ConfigConflict `json:"conflict,omitempty"` // with CodeConflict
	WriteID  string          `json:"write_id,omitempty"` // with CodeUnknown
}

// Error implements the error interface for clients.
func (e *OperatorError) Error() string { return string(e.Code) + ": " + e.Message }

// ConfigResponse is a document with its generation.
type ConfigResponse struct {
	Generation uint64          `json:"generation"`
	Hash       string          `json:"hash"` // hexadecimal
	Document   json.RawMessage `json:"document"`
}

// ConfigFault describes an invalid or questionable value in a document.
type ConfigFault struct {
	Path    string `json:"path"`
	Value   string `json:"value"`
	Allowed string `json:"allowed"`
	Line    int    `json:"line,omitempty"`
}

// ConfigValid is the response to the validation of a valid document.
type ConfigValid struct {
	Warnings []ConfigFault `json:"warnings"` // valid, but probably unintended
}

// ConfigChange is a difference between two documents.
type ConfigChange struct {
	Kind    string `json:"kind"` // added, removed, modified, moved
	Subject string `json:"subject"`
	Field   string `json:"field,omitempty"`
	Before  string `json:"before,omitempty"`
	After   string `json:"after,omitempty"`
	Text    string `json:"text"` // human-readable description in one line
}

// ConfigDiff lists the differences between a document and the one in force.
type ConfigDiff struct {
	Generation uint64         `json:"generation"` // generation of the document in force
	Changes    []ConfigChange `json:"changes"`
}

// ConfigConflict describes a conflict between a rejected document and the one that
// was accepted in the meantime.
type ConfigConflict struct {
	Base    uint64         `json:"base"`
	Current ConfigRecord   `json:"current"`
	Theirs  []ConfigChange `json:"theirs"` // changes from the base to the current document
	Yours   []ConfigChange `json:"yours"`  // changes from the base to the rejected document
}

// ConfigApplied is the response to an accepted document.
type ConfigApplied struct {
	Record    ConfigRecord `json:"record"`
	Unchanged bool         `json:"unchanged"` // the document was already in force
}

// ConfigRecord describes an accepted generation.
type ConfigRecord struct {
	Generation uint64    `json:"generation"`
	WriteID    string    `json:"write_id"`
	Hash       string    `json:"hash"` // hexadecimal
	Author     string    `json:"author"`
	Comment    string    `json:"comment"`
	AcceptedAt time.Time `json:"accepted_at"`
	Bytes      int       `json:"bytes"`
	Kept       bool      `json:"kept"` // the document is still stored
}

// ConfigHistory is the list of accepted generations, newest first.
type ConfigHistory struct {
	Records []ConfigRecord `json:"records"`
}

// ConfigInForce reports how many daemons have a generation or a higher one in
// force, according to their heartbeats.
type ConfigInForce struct {
	Generation uint64         `json:"generation"`
	Daemons    int            `json:"daemons"`
	InForce    int            `json:"in_force"`
	Stragglers []ConfigDaemon `json:"stragglers"`
}

// ConfigDaemon is a daemon with the generation that it has in force.
type ConfigDaemon struct {
	Name       string `json:"name"`
	Zone       string `json:"zone"`
	Region     string `json:"region"`
	State      string `json:"state"`
	Generation uint64 `json:"generation"`
}
