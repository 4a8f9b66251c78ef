package tunnel

import (
	"encoding/binary"
	"io"
	"time"

	"masticturn/internal/peer"
)

// OpenRequest asks a VM to carry a connection to a target.
type OpenRequest struct {
	Target  string // name of the target
	Address string // its address, as the asking VM knows it
	ID      string // identifies the tunnel in the logs of both VMs
	Ready   bool   // the target follows in a further OpenRequest on the stream, and its response there
}

// Result is a VM's answer to an OpenRequest.
type Result uint8

// Results of an OpenRequest.
const (
	ResultOpened       Result = iota + 1
	ResultRefused             // nothing listens at the target's address
	ResultUnreachable         // the target can't be reached from the carrying VM either
	ResultPartitioned         // the carrying VM is partitioned itself
	ResultBusy                // the carrying VM carries as many connections as it may
	ResultUnknown             // the carrying VM knows no such target
	ResultNotAccepting        // the target has announced to the carrying VM that it takes no requests
)

// String returns the text used in errors and metrics.
func (r Result) String() string {
	switch r {
	case ResultOpened:
		return "opened"
	case ResultRefused:
		return "refused"
	case ResultUnreachable:
		return "unreachable"
	case ResultPartitioned:
		return "partitioned"
	case ResultBusy:
		return "busy"
	case ResultUnknown:
		return "unknown target"
	case ResultNotAccepting:
		return "not accepting"
	}
	return "invalid"
}

// OpenResponse is the response to an OpenRequest.
type OpenResponse struct {
	Result Result
	Notice Notice // what the target has announced to the carrying VM
}

// Notice is what a target has announced in its answers to one VM. It binds all requests that reach the target
// from that VM, also those that the VM carries for others.
type Notice struct {
	Target    string
	Leaving   bool
	BackoffMS uint32 // what is left of the target's Retry-After

	Limited        bool
	LimitPerSecond float64 // rate limit that the target has named, if Limited
}

// backoff returns what is left of the target's Retry-After.
func (n *Notice) backoff() time.Duration { return time.Duration(n.BackoffMS) * time.Millisecond }

// isZero reports whether the target has announced nothing that still holds.
func (n *Notice) isZero() bool { return !n.Leaving && n.BackoffMS == 0 && !n.Limited }

// messageHeadBytes is the length of a message's size, big-endian, before a message on an open stream.
const messageHeadBytes = 2

// writeMessage writes a message to an open stream.
func writeMessage(w io.Writer, message any) error {
	payload, err := peer.Encode(message)
	if err != nil {
		return err
	}
	_, err = w.Write(append(binary.BigEndian.AppendUint16(nil, uint16(len(payload))), payload...))
	return err
}

// readMessage reads a message of an open stream, and no byte that follows it.
func readMessage(r io.Reader, message any) error {
	var head [messageHeadBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return err
	}
	payload := make([]byte, binary.BigEndian.Uint16(head[:]))
	if _, err := io.ReadFull(r, payload); err != nil {
		return err
	}
	return peer.Decode(payload, message)
}
