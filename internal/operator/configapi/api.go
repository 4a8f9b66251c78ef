// Package configapi is the part of the operators' API about the document:
// read, validate, compare, apply, history, and where it is in force.
package configapi

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/gravitational/trace"

	"masticturn/internal/config"
	"masticturn/internal/config/repository"
	"masticturn/internal/edge"
	"masticturn/internal/membership"
)

// Documents is what the API needs of the spread of the document.
type Documents interface {
	// Current returns the snapshot in force, nil when there is none.
	Current() *config.Snapshot
	// Written returns the document in force as it was written.
	Written() (config.Generation, *repository.Packed, error)
	// Apply stores a document and puts it in force.
	Apply(ctx context.Context, p repository.Proposal) (*repository.Accepted, error)
	// Repository gives access to the history.
	Repository() *repository.Repository
}

// API answers requests about the document. Who may ask is checked before.
type API struct {
	documents Documents
	members   membership.Source
}

// New returns an API.
func New(documents Documents, members membership.Source) *API {
	return &API{documents: documents, members: members}
}

// Handler returns the handler of all paths of the API.
func (a *API) Handler() http.Handler {
	mux := http.NewServeMux()
	handle := func(method, path string, h handler) { mux.Handle(method+" "+path, h) }
	handle(http.MethodGet, edge.PathOperatorConfig, a.get)
	handle(http.MethodPut, edge.PathOperatorConfig, a.apply)
	handle(http.MethodPost, edge.PathOperatorValidate, a.validate)
	handle(http.MethodPost, edge.PathOperatorDiff, a.diff)
	handle(http.MethodGet, edge.PathOperatorHistory, a.history)
	handle(http.MethodGet, edge.PathOperatorInForce, a.inForce)
	handle(http.MethodGet, edge.PathOperatorSchema, a.schema)
	return mux
}

// handler returns the JSON body of an answer, or an error to be described.
type handler func(w http.ResponseWriter, r *http.Request) (any, error)

// ServeHTTP implements http.Handler.
func (h handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := h(w, r)
	if err != nil {
		status, described := describe(err)
		writeJSON(w, status, described)
		return
	}
	writeJSON(w, http.StatusOK, body)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the operator's connection may be gone
}

// get answers the document in force, or one of the history.
func (a *API) get(w http.ResponseWriter, r *http.Request) (any, error) {
	gen, packed, err := a.read(r)
	if err != nil {
		return nil, err
	}
	doc, err := packed.Document()
	if err != nil {
		return nil, err
	}
	if r.URL.Query().Get(edge.QueryEffective) == "true" {
		config.SetDefaults(doc)
	}
	raw, err := config.Encode(doc)
	if err != nil {
		return nil, err
	}
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(uint64(gen), 10)))
	return &edge.ConfigResponse{Generation: uint64(gen), Hash: hexHash(packed.Hash), Document: raw}, nil
}

func (a *API) read(r *http.Request) (config.Generation, *repository.Packed, error) {
	text := r.URL.Query().Get(edge.QueryGeneration)
	if text == "" {
		return a.documents.Written()
	}
	gen, err := parseGeneration(edge.QueryGeneration, text)
	if err != nil {
		return 0, nil, err
	}
	packed, err := a.documents.Repository().Generation(r.Context(), gen)
	return gen, packed, err
}

// validate answers the faults of a document, or the warnings of a valid one.
func (a *API) validate(w http.ResponseWriter, r *http.Request) (any, error) {
	doc, err := readDocument(w, r)
	if err != nil {
		return nil, err
	}
	warnings, err := config.Advise(doc)
	return &edge.ConfigValid{Warnings: faults(warnings)}, err
}

// diff answers the difference of a valid document to the one in force.
func (a *API) diff(w http.ResponseWriter, r *http.Request) (any, error) {
	doc, err := readDocument(w, r)
	if err != nil {
		return nil, err
	}
	gen, packed, err := a.read(r)
	if err != nil {
		return nil, err
	}
	inForce, err := packed.Document()
	if err != nil {
		return nil, err
	}
	return &edge.ConfigDiff{Generation: uint64(gen), Changes: changes(config.Diff(inForce, doc))}, nil
}

// apply stores a document on the generation that the operator started from.
func (a *API) apply(w http.ResponseWriter, r *http.Request) (any, error) {
	match := r.Header.Get(edge.HeaderIfMatch)
	if match == "" {
		return nil, &statusError{http.StatusPreconditionRequired, trace.BadParameter(
			"header If-Match is missing; allowed is the generation that you started from, 0 for the first document")}
	}
	base, err := parseGeneration("If-Match", strings.Trim(match, `"`))
	if err != nil {
		return nil, err
	}
	doc, err := readDocument(w, r)
	if err != nil {
		return nil, err
	}
	accepted, err := a.documents.Apply(r.Context(), repository.Proposal{
		Document: doc,
		Base:     base,
		Author:   r.URL.Query().Get(edge.QueryAuthor),
		Comment:  r.URL.Query().Get(edge.QueryComment),
	})
	if err != nil {
		return nil, err
	}
	return &edge.ConfigApplied{Record: record(&accepted.Record), Unchanged: accepted.Unchanged}, nil
}

// history answers the generations kept in the store.
func (a *API) history(_ http.ResponseWriter, r *http.Request) (any, error) {
	head, _, err := a.documents.Repository().Head(r.Context())
	if err != nil {
		return nil, err
	}
	h := &edge.ConfigHistory{Records: []edge.ConfigRecord{record(&head.Current)}}
	for i := range head.History {
		h.Records = append(h.Records, record(&head.History[i]))
	}
	return h, nil
}

// inForce answers which daemons have a generation in force; without one
// named, that of this daemon.
func (a *API) inForce(_ http.ResponseWriter, r *http.Request) (any, error) {
	gen := uint64(0)
	if s := a.documents.Current(); s != nil {
		gen = uint64(s.Generation)
	}
	if text := r.URL.Query().Get(edge.QueryGeneration); text != "" {
		wanted, err := parseGeneration(edge.QueryGeneration, text)
		if err != nil {
			return nil, err
		}
		gen = uint64(wanted)
	}
	return a.InForce(gen), nil
}

// InForce counts the daemons that have a generation or a higher one in force
// and names the others. What it tells of others is as old as their last
// heartbeat.
func (a *API) InForce(gen uint64) *edge.ConfigInForce {
	view := a.members.View()
	answer := &edge.ConfigInForce{Generation: gen, Daemons: len(view.Members), Stragglers: []edge.ConfigDaemon{}}
	for _, m := range view.Members {
		has := m.Generation
		if s := a.documents.Current(); m.Name == view.Self && s != nil {
			has = uint64(s.Generation)
		}
		if has >= gen {
			answer.InForce++
			continue
		}
		answer.Stragglers = append(answer.Stragglers, edge.ConfigDaemon{
			Name: m.Name, Zone: m.Zone, Region: m.Region, State: m.State.String(), Generation: has,
		})
	}
	return answer
}

// schema answers the JSON Schema of the document.
func (a *API) schema(http.ResponseWriter, *http.Request) (any, error) {
	raw, err := config.Schema()
	return json.RawMessage(raw), err
}

// readDocument reads and validates the document in a request's body.
func readDocument(w http.ResponseWriter, r *http.Request) (*config.Document, error) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, config.MaxDocumentBytes))
	if err != nil {
		return nil, trace.BadParameter("read document: %v", err)
	}
	return config.Check(raw)
}

func parseGeneration(name, text string) (config.Generation, error) {
	gen, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, trace.BadParameter("%s: got %q; allowed is a generation, a whole number", name, text)
	}
	return config.Generation(gen), nil
}
