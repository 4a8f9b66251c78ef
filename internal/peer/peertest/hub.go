// Package peertest provides an in-memory peer network for tests that simulates
// message loss, delay, duplication and one-way partitions. It works with the fake
// clock of testing/synctest.
package peertest

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"masticturn/internal/peer"
)

// Fault describes the faults of a one-way link. With the zero value all messages are
// delivered in order and without delay.
type Fault struct {
	Drop      float64       // probability that a message is lost
	Duplicate float64       // probability that a message arrives twice
	Delay     time.Duration // delay of each message
	Jitter    time.Duration // maximum of a uniformly distributed addition to Delay; messages stay in order
	Partition bool          // all messages are lost
}

// Any matches all VMs in SetFault.
const Any = "*"

type direction struct{ from, to string }

// Hub connects networks. The fault of a link is the first one set of (from, to),
// (from, Any), (Any, to) and (Any, Any).
type Hub struct {
	mu          sync.Mutex
	rng         *rand.Rand
	networks    map[string]*Network // by VM
	vmByAddress map[string]string   // VM names by address
	faults      map[direction]Fault
	queues      map[direction]*queue
	paused      map[string]bool
	links       map[string]*link // by VM, if its rate is limited
	stats       Stats
}

// Stats counts the messages of a hub, including responses.
type Stats struct {
	Messages int // messages sent, including lost ones
	Lost     int
	Bytes    int // total size of the payloads sent
}

// NewHub returns an empty hub. seed initializes the random number generator that
// decides about faults.
func NewHub(seed uint64) *Hub {
	return &Hub{
		rng:         rand.New(rand.NewPCG(seed, seed)),
		networks:    make(map[string]*Network),
		vmByAddress: make(map[string]string),
		faults:      make(map[direction]Fault),
		queues:      make(map[direction]*queue),
		paused:      make(map[string]bool),
		links:       make(map[string]*link),
	}
}

// Address returns the listen address of a VM.
func Address(vm string) string { return vm + ":7000" }

// Network adds a VM and returns its network. It replaces an existing network of
// that name, as a restart does.
func (h *Hub) Network(vm string) *Network {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := &Network{hub: h, vm: vm, handlers: make(map[peer.Kind]peer.Handler), addresses: make(map[string]string)}
	h.networks[vm] = n
	h.vmByAddress[Address(vm)] = vm
	return n
}

// Remove removes a VM. Messages to it are lost.
func (h *Hub) Remove(vm string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.networks, vm)
	delete(h.vmByAddress, Address(vm))
}

// SetFault sets the fault of the link from one VM to another. Either may be Any.
func (h *Hub) SetFault(from, to string, f Fault) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults[direction{from, to}] = f
}

// Partition partitions two VMs from each other, in both directions.
func (h *Hub) Partition(a, b string) {
	h.SetFault(a, b, Fault{Partition: true})
	h.SetFault(b, a, Fault{Partition: true})
}

// Heal removes all faults.
func (h *Hub) Heal() {
	h.mu.Lock()
	defer h.mu.Unlock()
	clear(h.faults)
}

// Pause delays the delivery of messages to a VM until Resume.
func (h *Hub) Pause(vm string) { h.setPaused(vm, true) }

// Resume delivers the messages that arrived during a pause.
func (h *Hub) Resume(vm string) { h.setPaused(vm, false) }

func (h *Hub) setPaused(vm string, paused bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.paused[vm] = paused
}

// Stats returns the counts so far.
func (h *Hub) Stats() Stats {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stats
}

func (h *Hub) faultFor(from, to string) Fault {
	for _, d := range []direction{{from, to}, {from, Any}, {Any, to}, {Any, Any}} {
		if f, ok := h.faults[d]; ok {
			return f
		}
	}
	return Fault{}
}

// send schedules a delivery from one VM to another, subject to the fault of the
// link.
func (h *Hub) send(from, to string, size int, deliver func(*Network)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stats.Messages++
	h.stats.Bytes += size
	f := h.faultFor(from, to)
	if f.Partition || h.rng.Float64() < f.Drop {
		h.stats.Lost++
		return
	}
	delay := f.Delay
	if f.Jitter > 0 {
		delay += time.Duration(h.rng.Int64N(int64(f.Jitter)))
	}
	duplicate := h.rng.Float64() < f.Duplicate
	h.transmit(from, to, size, func() {
		dir, due := direction{from, to}, time.Now().Add(delay)
		h.enqueue(dir, delivery{due, deliver})
		if duplicate {
			h.enqueue(dir, delivery{due, deliver})
		}
	})
}

type delivery struct {
	due     time.Time
	deliver func(*Network)
}

// queue holds the undelivered messages of a link. While it is not empty, a
// goroutine delivers them.
type queue struct {
	items []delivery
}

func (h *Hub) enqueue(dir direction, d delivery) {
	q := h.queues[dir]
	if q == nil {
		q = &queue{}
		h.queues[dir] = q
	}
	q.items = append(q.items, d)
	if len(q.items) == 1 {
		go h.deliverQueued(dir, q)
	}
}

// pausePollInterval is how often a link to a paused VM checks whether the VM is
// resumed.
const pausePollInterval = time.Millisecond

// deliverQueued delivers the items of a queue in order until it is empty.
func (h *Hub) deliverQueued(dir direction, q *queue) {
	h.mu.Lock()
	for len(q.items) > 0 {
		d := q.items[0]
		wait := time.Until(d.due)
		if h.paused[dir.to] {
			wait = pausePollInterval
		}
		if wait > 0 {
			h.mu.Unlock()
			time.Sleep(wait)
			h.mu.Lock()
			continue
		}
		n := h.networks[dir.to]
		h.mu.Unlock()
		if n != nil {
			d.deliver(n)
		}
		h.mu.Lock()
		q.items = q.items[1:]
	}
	h.mu.Unlock()
}

// resolve returns the VM that listens at the address. If address is empty, it
// returns name.
func (h *Hub) resolve(address, name string) (vm string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if address == "" {
		return name
	}
	return h.vmByAddress[address]
}

// Network is the network of one VM. A name without a set address is taken as the
// name of a VM of the hub.
type Network struct {
	hub *Hub
	vm  string

	mu        sync.Mutex
	handlers  map[peer.Kind]peer.Handler
	addresses map[string]string
}

var _ peer.Network = (*Network)(nil)

// Handle sets the handler of a kind.
func (n *Network) Handle(kind peer.Kind, h peer.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[kind] = h
}

// SetAddress sets the address at which a VM listens, or removes it if empty.
func (n *Network) SetAddress(vm, address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if address == "" {
		delete(n.addresses, vm)
		return
	}
	n.addresses[vm] = address
}

func (n *Network) route(to string) string {
	n.mu.Lock()
	address := n.addresses[to]
	n.mu.Unlock()
	return n.hub.resolve(address, to)
}

func (n *Network) handler(kind peer.Kind) peer.Handler {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.handlers[kind]
}

// Send sends a one-way message.
func (n *Network) Send(to string, kind peer.Kind, msg any) error {
	payload, err := peer.Encode(msg)
	if err != nil {
		return &peer.Error{Peer: to, Step: peer.StepEncode, Err: err}
	}
	n.hub.send(n.vm, n.route(to), len(payload), func(r *Network) {
		if h := r.handler(kind); h != nil {
			_, _ = h(context.Background(), n.vm, payload)
		}
	})
	return nil
}

// result is the outcome of a call.
type result struct {
	payload []byte
	err     error
}

// Call sends a message and waits for the first response.
func (n *Network) Call(ctx context.Context, to string, kind peer.Kind, msg, resp any) error {
	payload, err := peer.Encode(msg)
	if err != nil {
		return &peer.Error{Peer: to, Step: peer.StepEncode, Err: err}
	}
	vm := n.route(to)
	done := make(chan result, 1)
	n.hub.send(n.vm, vm, len(payload), func(r *Network) {
		go n.hub.handleCall(ctx, r, n.vm, kind, payload, done)
	})
	select {
	case <-ctx.Done():
		return &peer.Error{Peer: to, Step: peer.StepAnswer, Err: ctx.Err()}
	case res := <-done:
		return res.decode(to, resp)
	}
}

// handleCall runs the handler of a call and sends its result back.
func (h *Hub) handleCall(ctx context.Context, r *Network, from string, kind peer.Kind, payload []byte, done chan<- result) {
	var res result
	handler := r.handler(kind)
	if handler == nil {
		res.err = &peer.RemoteError{Message: "no handler of this kind"}
	} else {
		v, err := handler(context.WithoutCancel(ctx), from, payload)
		res = encodeResult(v, err)
	}
	h.send(r.vm, from, len(res.payload), func(*Network) {
		select {
		case done <- res:
		default:
		}
	})
}

func encodeResult(v any, err error) result {
	if err != nil {
		return result{err: &peer.RemoteError{Message: err.Error()}}
	}
	payload, err := peer.Encode(v)
	return result{payload, err}
}

func (r result) decode(to string, resp any) error {
	if r.err != nil {
		return &peer.Error{Peer: to, Step: peer.StepRemote, Err: r.err}
	}
	if resp == nil {
		return nil
	}
	if err := peer.Decode(r.payload, resp); err != nil {
		return &peer.Error{Peer: to, Step: peer.StepDecode, Err: err}
	}
	return nil
}
