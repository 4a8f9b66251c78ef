// Package peertest provides an in-memory peer network with loss, delay,
// duplicates and one-way cuts. It works under testing/synctest.
package peertest

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"masticturn/internal/peer"
)

// Fault is what a one-way link does to messages. The zero Fault delivers all
// messages, in order and at once.
type Fault struct {
	Drop      float64       // probability that a message is lost
	Duplicate float64       // probability that a message arrives twice
	Delay     time.Duration // of each message
	Jitter    time.Duration // uniform addition to Delay; order is kept
	Cut       bool          // nothing arrives
}

// Any stands for all VMs in SetFault.
const Any = "*"

type pair struct{ from, to string }

// Hub connects networks. A fault of a pair goes before one of (from, Any),
// that before one of (Any, to), that before one of (Any, Any).
type Hub struct {
	mu       sync.Mutex
	random   *rand.Rand
	networks map[string]*Network // by VM
	listen   map[string]string   // VM by address
	faults   map[pair]Fault
	queues   map[pair]*queue
	paused   map[string]bool
	stats    Stats
}

// Stats counts messages of the whole hub, answers included.
type Stats struct {
	Messages int // given to the hub
	Lost     int
	Bytes    int // payloads given to the hub
}

// NewHub returns an empty hub whose chances follow the seed.
func NewHub(seed uint64) *Hub {
	return &Hub{
		random:   rand.New(rand.NewPCG(seed, seed)),
		networks: make(map[string]*Network),
		listen:   make(map[string]string),
		faults:   make(map[pair]Fault),
		queues:   make(map[pair]*queue),
		paused:   make(map[string]bool),
	}
}

// Address returns the address at which a VM of the hub listens.
func Address(vm string) string { return vm + ":7000" }

// Network adds a VM and returns its network; one that was there under that
// name is replaced, as by a restart.
func (h *Hub) Network(vm string) *Network {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := &Network{hub: h, vm: vm, handlers: make(map[peer.Kind]peer.Handler), addresses: make(map[string]string)}
	h.networks[vm] = n
	h.listen[Address(vm)] = vm
	return n
}

// Remove takes a VM away: messages to it are lost.
func (h *Hub) Remove(vm string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.networks, vm)
	delete(h.listen, Address(vm))
}

// SetFault sets the fault of the one-way link; either end may be Any.
func (h *Hub) SetFault(from, to string, f Fault) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults[pair{from, to}] = f
}

// Cut cuts both ways between two VMs.
func (h *Hub) Cut(a, b string) {
	h.SetFault(a, b, Fault{Cut: true})
	h.SetFault(b, a, Fault{Cut: true})
}

// Heal removes all faults.
func (h *Hub) Heal() {
	h.mu.Lock()
	defer h.mu.Unlock()
	clear(h.faults)
}

// Pause holds what arrives at a VM until Resume.
func (h *Hub) Pause(vm string) { h.setPaused(vm, true) }

// Resume delivers what arrived during a pause.
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

func (h *Hub) fault(from, to string) Fault {
	for _, p := range []pair{{from, to}, {from, Any}, {Any, to}, {Any, Any}} {
		if f, ok := h.faults[p]; ok {
			return f
		}
	}
	return Fault{}
}

// post puts a delivery on the way from one VM to another. It may be lost.
func (h *Hub) post(from, to string, size int, deliver func(*Network)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stats.Messages++
	h.stats.Bytes += size
	f := h.fault(from, to)
	if f.Cut || h.random.Float64() < f.Drop {
		h.stats.Lost++
		return
	}
	due := time.Now().Add(f.Delay)
	if f.Jitter > 0 {
		due = due.Add(time.Duration(h.random.Int64N(int64(f.Jitter))))
	}
	p := pair{from, to}
	h.enqueue(p, delivery{due, deliver})
	if h.random.Float64() < f.Duplicate {
		h.enqueue(p, delivery{due, deliver})
	}
}

type delivery struct {
	due     time.Time
	deliver func(*Network)
}

// queue is what is on the way over one link; a goroutine runs while it is not
// empty.
type queue struct {
	items []delivery
}

func (h *Hub) enqueue(p pair, d delivery) {
	q := h.queues[p]
	if q == nil {
		q = &queue{}
		h.queues[p] = q
	}
	q.items = append(q.items, d)
	if len(q.items) == 1 {
		go h.run(p, q)
	}
}

// pausePoll is how often a link to a paused VM looks whether it is resumed.
const pausePoll = time.Millisecond

// run delivers the items of a queue in order until it is empty.
func (h *Hub) run(p pair, q *queue) {
	h.mu.Lock()
	for len(q.items) > 0 {
		d := q.items[0]
		wait := time.Until(d.due)
		if h.paused[p.to] {
			wait = pausePoll
		}
		if wait > 0 {
			h.mu.Unlock()
			time.Sleep(wait)
			h.mu.Lock()
			continue
		}
		n := h.networks[p.to]
		h.mu.Unlock()
		if n != nil {
			d.deliver(n)
		}
		h.mu.Lock()
		q.items = q.items[1:]
	}
	h.mu.Unlock()
}

// resolve finds the VM that a network means by a name.
func (h *Hub) resolve(address, name string) (vm string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if address == "" {
		return name
	}
	return h.listen[address]
}

// Network is one VM's end of the hub. Names without a set address reach the VM
// of that name.
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

// SetAddress tells where a VM listens.
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

// Send puts a one-way message on the way.
func (n *Network) Send(to string, kind peer.Kind, msg any) error {
	payload, err := peer.Encode(msg)
	if err != nil {
		return &peer.Error{Peer: to, Step: peer.StepEncode, Err: err}
	}
	n.hub.post(n.vm, n.route(to), len(payload), func(r *Network) {
		if h := r.handler(kind); h != nil {
			_, _ = h(context.Background(), n.vm, payload)
		}
	})
	return nil
}

// result is what came back for a call.
type result struct {
	payload []byte
	err     error
}

// Call sends a message and waits for the first answer.
func (n *Network) Call(ctx context.Context, to string, kind peer.Kind, msg, answer any) error {
	payload, err := peer.Encode(msg)
	if err != nil {
		return &peer.Error{Peer: to, Step: peer.StepEncode, Err: err}
	}
	vm := n.route(to)
	done := make(chan result, 1)
	n.hub.post(n.vm, vm, len(payload), func(r *Network) {
		go n.hub.answer(ctx, r, n.vm, kind, payload, done)
	})
	select {
	case <-ctx.Done():
		return &peer.Error{Peer: to, Step: peer.StepAnswer, Err: ctx.Err()}
	case res := <-done:
		return res.decode(to, answer)
	}
}

// answer runs the handler of a call and posts its result back.
func (h *Hub) answer(ctx context.Context, r *Network, from string, kind peer.Kind, payload []byte, done chan<- result) {
	var res result
	handler := r.handler(kind)
	if handler == nil {
		res.err = &peer.RemoteError{Message: "no handler of this kind"}
	} else {
		v, err := handler(context.WithoutCancel(ctx), from, payload)
		res = encodeResult(v, err)
	}
	h.post(r.vm, from, len(res.payload), func(*Network) {
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

func (r result) decode(to string, answer any) error {
	if r.err != nil {
		return &peer.Error{Peer: to, Step: peer.StepRemote, Err: r.err}
	}
	if answer == nil {
		return nil
	}
	if err := peer.Decode(r.payload, answer); err != nil {
		return &peer.Error{Peer: to, Step: peer.StepDecode, Err: err}
	}
	return nil
}
