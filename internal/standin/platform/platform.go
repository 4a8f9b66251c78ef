// Package platform is the stand-in for the platform: the object API over
// HTTP, served from an in-memory store, with faults.
package platform

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"masticturn/internal/edge"
	"masticturn/internal/platform"
	"masticturn/internal/platform/platformtest"
)

// Mode is how the server treats calls.
type Mode int

// The modes of the server. An outage of the store itself, lost answers and
// stale reads are set at the store.
const (
	Normal Mode = iota
	Refuse      // answers 503 and says that nothing was done
	Silent      // takes calls and never answers; nothing is done
	Cut         // cuts the connection before anything is done
)

// Handler serves a store as the platform's object API.
type Handler struct {
	store *platformtest.Store
	mux   *http.ServeMux

	mu      sync.Mutex
	mode    Mode
	latency time.Duration
}

var _ http.Handler = (*Handler)(nil)

// NewHandler returns a handler over the store.
func NewHandler(store *platformtest.Store) *Handler {
	h := &Handler{store: store, mux: http.NewServeMux()}
	const kind, name = "{kind}", "{name}"
	h.mux.HandleFunc("GET "+edge.PathPlatformObjects+kind, h.list)
	h.mux.HandleFunc("GET "+edge.PathPlatformObjects+kind+"/"+name, h.get)
	h.mux.HandleFunc("PUT "+edge.PathPlatformObjects+kind+"/"+name, h.put)
	h.mux.HandleFunc("DELETE "+edge.PathPlatformObjects+kind+"/"+name, h.delete)
	h.mux.HandleFunc("GET "+edge.PathPlatformWatch+kind, h.watch)
	return h
}

// Store returns the store behind the server.
func (h *Handler) Store() *platformtest.Store { return h.store }

// SetMode sets the mode of later calls.
func (h *Handler) SetMode(m Mode) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.mode = m
}

// SetLatency sets how long the server waits before it does a call.
func (h *Handler) SetLatency(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.latency = d
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	mode, latency := h.mode, h.latency
	h.mu.Unlock()
	switch mode {
	case Refuse:
		writeError(w, platform.ErrUnavailable)
		return
	case Silent:
		io.Copy(io.Discard, r.Body) // the end of the connection is seen only once the body is read
		<-r.Context().Done()
		return
	case Cut:
		panic(http.ErrAbortHandler)
	}
	time.Sleep(latency)
	h.mux.ServeHTTP(w, r)
}

func (h *Handler) get(w http.ResponseWriter, r *http.Request) {
	o, err := h.store.Get(r.Context(), kindOf(r), r.PathValue("name"))
	if err != nil {
		writeError(w, err)
		return
	}
	writeVersion(w, o.Version)
	w.Write(o.Value)
}

func (h *Handler) list(w http.ResponseWriter, r *http.Request) {
	objects, version, err := h.store.List(r.Context(), kindOf(r))
	if err != nil {
		writeError(w, err)
		return
	}
	writeVersion(w, version)
	json.NewEncoder(w).Encode(objects)
}

// put takes effect even when the client has left meanwhile.
func (h *Handler) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platform.MaxValueBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		writeError(w, platform.ErrTooLarge)
		return
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	ctx := context.WithoutCancel(r.Context())
	var version platform.Version
	if r.Header.Get(edge.HeaderIfNoneMatch) == edge.IfNoneMatchAny {
		version, err = h.store.Create(ctx, kindOf(r), r.PathValue("name"), value)
	} else {
		version, err = h.store.Update(ctx, kindOf(r), r.PathValue("name"), value, expectedVersion(r))
	}
	if err != nil {
		writeError(w, err)
		return
	}
	writeVersion(w, version)
}

func (h *Handler) delete(w http.ResponseWriter, r *http.Request) {
	err := h.store.Delete(context.WithoutCancel(r.Context()), kindOf(r), r.PathValue("name"), expectedVersion(r))
	if err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (h *Handler) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	ctx, cancel := context.WithTimeout(r.Context(), watchTimeout(query))
	defer cancel()
	since, _ := strconv.ParseUint(query.Get(edge.QuerySince), 10, 64)
	events, version, err := h.store.Watch(ctx, kindOf(r), platform.Version(since))
	if errors.Is(err, context.DeadlineExceeded) {
		events, err = []platform.Event{}, nil // nothing changed
	}
	if err != nil {
		writeError(w, err)
		return
	}
	writeVersion(w, version)
	json.NewEncoder(w).Encode(events)
}

func kindOf(r *http.Request) platform.Kind { return platform.Kind(r.PathValue("kind")) }

// watchTimeout returns how long the client lets a watch wait.
func watchTimeout(query url.Values) time.Duration {
	ms, err := strconv.ParseInt(query.Get(edge.QueryTimeoutMS), 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// expectedVersion returns the version of If-Match; zero, which no object has,
// when there is none.
func expectedVersion(r *http.Request) platform.Version {
	quoted, err := strconv.Unquote(r.Header.Get(edge.HeaderIfMatch))
	if err != nil {
		return 0
	}
	v, _ := strconv.ParseUint(quoted, 10, 64)
	return platform.Version(v)
}

func writeVersion(w http.ResponseWriter, v platform.Version) {
	w.Header().Set(edge.HeaderVersion, strconv.FormatUint(uint64(v), 10))
}

// writeError answers with the status of a typed error; an unknown outcome is
// shown by a cut connection.
func writeError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, platform.ErrUnknownOutcome):
		panic(http.ErrAbortHandler)
	case errors.Is(err, platform.ErrNotFound):
		w.WriteHeader(http.StatusNotFound)
	case errors.Is(err, platform.ErrConflict):
		w.WriteHeader(http.StatusPreconditionFailed)
	case errors.Is(err, platform.ErrTooLarge):
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	default:
		w.Header().Set(edge.HeaderNotDone, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
