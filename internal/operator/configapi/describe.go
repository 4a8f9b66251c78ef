package configapi

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/gravitational/trace"

	"masticturn/internal/config"
	"masticturn/internal/config/repository"
	"masticturn/internal/edge"
	"masticturn/internal/platform"
)

// statusError is an error with a status of its own.
type statusError struct {
	status int
	err    error
}

func (e *statusError) Error() string { return e.err.Error() }
func (e *statusError) Unwrap() error { return e.err }

// describe returns the status and the body of an error.
func describe(err error) (int, *edge.OperatorError) {
	var (
		invalid   *config.InvalidError
		conflict  *repository.ConflictError
		unknown   *repository.UnknownOutcomeError
		notStored *repository.NotStoredError
	)
	described := &edge.OperatorError{Message: trace.UserMessage(err)}
	status := http.StatusInternalServerError
	switch {
	case errors.As(err, &invalid):
		status, described.Code = http.StatusUnprocessableEntity, edge.CodeInvalid
		described.Message = fmt.Sprintf("the document has %d fault(s)", len(invalid.Faults))
		described.Faults = faults(invalid.Faults)
	case errors.As(err, &conflict):
		status, described.Code = http.StatusConflict, edge.CodeConflict
		described.Conflict = conflictBody(conflict)
	case errors.As(err, &unknown):
		status, described.Code = http.StatusGatewayTimeout, edge.CodeUnknown
		described.WriteID = unknown.WriteID
	case errors.As(err, &notStored):
		status, described.Code = http.StatusServiceUnavailable, edge.CodeNotStored
	case errors.Is(err, repository.ErrNoDocument):
		status, described.Code = http.StatusNotFound, edge.CodeNoDocument
	case errors.Is(err, platform.ErrUnavailable):
		status, described.Code = http.StatusServiceUnavailable, edge.CodeNotStored
	case trace.IsNotFound(err):
		status, described.Code = http.StatusNotFound, edge.CodeNotFound
	case trace.IsBadParameter(err):
		status, described.Code = http.StatusBadRequest, edge.CodeBadRequest
	}
	var own *statusError
	if errors.As(err, &own) {
		status, described.Code = own.status, edge.CodeBadRequest
	}
	return status, described
}

func faults(in []config.Fault) []edge.ConfigFault {
	out := make([]edge.ConfigFault, len(in))
	for i, f := range in {
		out[i] = edge.ConfigFault(f)
	}
	return out
}

func changes(in []config.Change) []edge.ConfigChange {
	out := make([]edge.ConfigChange, len(in))
	for i, c := range in {
		out[i] = edge.ConfigChange{
			Kind: string(c.Kind), Subject: c.Subject, Field: c.Field, Before: c.Before, After: c.After, Text: c.String(),
		}
	}
	return out
}

func conflictBody(e *repository.ConflictError) *edge.ConfigConflict {
	return &edge.ConfigConflict{
		Base: uint64(e.Base), Current: record(&e.Current), Theirs: changes(e.Theirs), Yours: changes(e.Yours),
	}
}

func record(r *repository.Record) edge.ConfigRecord {
	return edge.ConfigRecord{
		Generation: uint64(r.Generation), WriteID: r.WriteID, Hash: hexHash(r.Hash), Author: r.Author,
		Comment: r.Comment, AcceptedAt: r.AcceptedAt, Bytes: r.Bytes, Kept: r.Kept(),
	}
}

func hexHash(hash uint64) string { return fmt.Sprintf("%016x", hash) }
