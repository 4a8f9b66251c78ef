package target

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"masticturn/internal/edge"
	"masticturn/internal/standin"
	"masticturn/internal/wait"
)

// query is what a request asks for.
type query struct {
	seed  uint64
	bytes int64
}

func parseQuery(values url.Values) (query, error) {
	var q query
	var errSeed, errBytes error
	if s := values.Get(standin.QueryContent); s != "" {
		q.seed, errSeed = strconv.ParseUint(s, 10, 64)
	}
	if s := values.Get(standin.QueryBytes); s != "" {
		q.bytes, errBytes = strconv.ParseInt(s, 10, 64)
	}
	return q, errors.Join(errSeed, errBytes)
}

// errNotRun is why a request was shed.
var errNotRun = errors.New("not run")

func (t *Target) serveRequest(w http.ResponseWriter, r *http.Request) {
	q, err := parseQuery(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	fault, service := t.draw()
	record := t.newRecord(r, fault)
	ctx, cancel := deadlineContext(r)
	defer cancel()

	if fault == SilentBefore || fault == CutBefore {
		t.lose(r, record, fault)
	}
	if err := t.enter(ctx); err != nil {
		t.refuse(w, r, record)
		return
	}
	leave := sync.OnceFunc(t.leave)
	defer leave()
	t.run(ctx, r, record, q.seed, service)
	t.answerHead(w, r)
	if fault != NoFault {
		leave() // a faulty answer may take forever; the work is done
	}
	t.send(w, r, q, fault)
}

func (t *Target) newRecord(r *http.Request, fault Fault) *Record {
	record := &Record{
		Target:    t.opts.Name,
		RequestID: r.Header.Get(edge.HeaderTargetRequestID),
		Key:       r.Header.Get(edge.HeaderIdempotencyKey),
		Method:    r.Method,
		Path:      r.URL.Path,
		Arrived:   time.Now(),
		Fault:     fault,
	}
	t.opts.Log.add(record)
	return record
}

// deadlineContext honours the deadline header and cancellation.
func deadlineContext(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get(edge.HeaderTargetDeadlineMS), 10, 64)
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

// enter takes a slot, waiting inside the target's own queue if need be.
func (t *Target) enter(ctx context.Context) error {
	if t.isDraining() {
		return errNotRun
	}
	select {
	case t.slots <- struct{}{}:
	default:
		if err := t.wait(ctx); err != nil {
			return err
		}
		t.inFlight.Add(1)
		return nil
	}
	t.offered(1)
	t.inFlight.Add(1)
	return nil
}

// wait queues for a slot. The request counts as offered from here on.
func (t *Target) wait(ctx context.Context) error {
	defer t.queued.Add(-1)
	if t.queued.Add(1) > int64(t.opts.QueueLimit) {
		return errNotRun
	}
	t.offered(1)
	select {
	case t.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		t.offered(-1)
		return ctx.Err()
	}
}

func (t *Target) leave() {
	<-t.slots
	t.inFlight.Add(-1)
	t.offered(-1)
}

// refuse sheds a request and says that it was not run.
func (t *Target) refuse(w http.ResponseWriter, r *http.Request, record *Record) {
	ending := Shed
	if r.Context().Err() != nil {
		ending = Left
	}
	t.finish(record, ending)
	t.answerHead(w, r)
	w.Header().Set(edge.HeaderTargetNotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// lose ends a request that a fault swallows before it is run.
func (t *Target) lose(r *http.Request, record *Record, fault Fault) {
	t.finish(record, Lost)
	if fault == SilentBefore {
		io.Copy(io.Discard, r.Body)
		swallow(r)
	}
	panic(http.ErrAbortHandler)
}

// run reads the body and spends the service time. It returns when the request
// ran to its end; otherwise it cuts the connection.
func (t *Target) run(ctx context.Context, r *http.Request, record *Record, seed uint64, service time.Duration) {
	t.opts.Log.update(func() { record.Started = time.Now() })
	n, own, err := standin.MatchContent(r.Body, seed)
	t.opts.Log.update(func() { record.BodyBytes, record.BodyOwn = n, own })
	if err != nil {
		t.finish(record, Broken)
		panic(http.ErrAbortHandler)
	}
	if !wait.For(ctx, service) {
		t.finish(record, Canceled)
		panic(http.ErrAbortHandler)
	}
	t.finish(record, Done)
}

func (t *Target) finish(record *Record, ending Ending) {
	t.opts.Log.update(func() {
		record.Finished = time.Now()
		record.Ending = ending
	})
}

// answerHead sets the headers of every answer.
func (t *Target) answerHead(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set(edge.HeaderTargetRequestID, r.Header.Get(edge.HeaderTargetRequestID))
	h.Set(edge.HeaderTargetLoad, fmt.Sprintf("%d/%d", t.inFlight.Load(), t.opts.Slots))
	if t.isDraining() {
		h.Set(edge.HeaderTargetDraining, "1")
	}
}
