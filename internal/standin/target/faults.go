package target

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"masticturn/internal/edge"
	"masticturn/internal/standin"
)

// Fault is what goes wrong with one request at a target.
type Fault int

// The faults of one request.
const (
	NoFault      Fault = iota
	SilentBefore       // reads the request, does not run it, never answers
	SilentAfter        // runs it, never answers
	CutBefore          // cuts the connection without running it
	CutAfter           // runs it, cuts the connection without an answer
	CutAnswer          // cuts the connection in the middle of the answer
	WrongLength        // announces more bytes than it sends, then is silent
	Trickle            // sends the answer in small pieces with pauses
	HeadersOnly        // sends the head of the answer, then is silent
	Crossed            // sends the whole answer to another request
	Doubled            // sends the answer twice
	Late               // runs it, answers long after
	faultCount
)

// Faults lists all faults, for choosing one by chance.
func Faults() []Fault {
	all := make([]Fault, 0, faultCount-1)
	for f := NoFault + 1; f < faultCount; f++ {
		all = append(all, f)
	}
	return all
}

// String returns the name used in traces.
func (f Fault) String() string {
	return [...]string{
		"none", "silent-before", "silent-after", "cut-before", "cut-after", "cut-answer", "wrong-length",
		"trickle", "headers-only", "crossed", "doubled", "late",
	}[f]
}

const (
	trickleBytes = 64
	tricklePause = 5 * time.Millisecond
	lateBy       = 3 * time.Second
	missingBytes = 10                  // that WrongLength announces and never sends
	foreignSeed  = 0xffff              // flips a seed into that of another request
	foreignID    = "another-request-0" // request id of a crossed answer
)

// swallow is a request that gets no answer: the connection stays open until
// the other side or the target ends it.
func swallow(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// send sends the answer to a request that ran, under its fault.
func (t *Target) send(w http.ResponseWriter, r *http.Request, q query, f Fault) {
	switch f {
	case SilentAfter:
		swallow(r)
	case CutAfter:
		panic(http.ErrAbortHandler)
	case Crossed:
		q.seed ^= foreignSeed
		w.Header().Set(edge.HeaderTargetRequestID, foreignID)
	case Late:
		time.Sleep(lateBy)
	case Doubled:
		t.sendTwice(w, q)
		return
	}
	body := standin.ContentReader(q.seed, q.bytes)
	announced := q.bytes
	if f == WrongLength {
		announced += missingBytes
	}
	w.Header().Set("Content-Length", strconv.FormatInt(announced, 10))
	switch f {
	case HeadersOnly:
		http.NewResponseController(w).Flush()
		swallow(r)
	case CutAnswer:
		io.CopyN(w, body, q.bytes/2)
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case Trickle:
		trickle(w, r, body)
	case WrongLength:
		io.Copy(w, body)
		http.NewResponseController(w).Flush()
		swallow(r)
	default:
		standin.Copy(w, body)
	}
}

func trickle(w http.ResponseWriter, r *http.Request, body io.Reader) {
	for r.Context().Err() == nil {
		if _, err := io.CopyN(w, body, trickleBytes); err != nil {
			return
		}
		http.NewResponseController(w).Flush()
		time.Sleep(tricklePause)
	}
}

// sendTwice writes the same answer two times on the connection and leaves it
// open, so that the second one waits for whoever uses the connection next.
func (t *Target) sendTwice(w http.ResponseWriter, q query) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Length", strconv.FormatInt(q.bytes, 10))
	for range 2 {
		io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
		w.Header().Write(conn)
		io.WriteString(conn, "\r\n")
		io.Copy(conn, standin.ContentReader(q.seed, q.bytes))
	}
	go func() {
		io.Copy(io.Discard, conn) // until the other side closes
		conn.Close()
	}()
}

// CutPlan chooses after how many bytes, read and written together, a new
// connection is cut; zero means never.
type CutPlan func() int64

// cutListener cuts connections at the byte positions of a plan.
type cutListener struct {
	net.Listener
	plan func() int64
}

// Accept implements net.Listener.
func (l cutListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if limit := l.plan(); limit > 0 {
		return newCutConn(conn, limit), nil
	}
	return conn, nil
}
