package steering

import "time"

// ReservedShare is the part of all dequeues that is divided between the
// backlogged classes by weight, whatever their priority. It is what keeps a
// low class from starving; the rest goes by priority alone.
const ReservedShare = 0.1

// ClassSpec is what the queue needs to know of a class.
type ClassSpec struct {
	Name     string
	Priority int           // lower goes first
	Weight   int           // share of ReservedShare, relative to the other classes
	MaxWait  time.Duration // longest time in the queue; 0: only the deadline bounds it
}

// Item is a queued request.
type Item struct {
	Request  *Request
	Enqueued time.Time
	expires  time.Time

	class *classQueue
	flow  *flow
	prev  *Item
	next  *Item
}

// Queue holds waiting requests by class, and within a class by tenant.
//
// Properties: the class with the lowest priority number is dequeued first,
// except that a backlogged class c gets at least the part
// ReservedShare·weight(c)/Σweights of the dequeues, less one; within a class the
// backlogged tenants are dequeued in proportion to their weights; within a
// tenant the order is first in, first out, but for SetNear. Push, Remove and Pop cost
// O(classes + backlogged tenants of one class).
type Queue struct {
	near      string        // availability zone whose requests go first, see SetNear
	classes   []*classQueue // by priority
	byName    map[string]*classQueue
	weightSum float64
	tenants   map[string]int // weights; absent: 1
	len       int
}

type classQueue struct {
	spec   ClassSpec
	share  float64 // guaranteed part of the dequeues
	credit float64 // dequeues owed
	flows  []*flow // backlogged tenants
	all    map[flowKey]*flow
	vtime  float64
	len    int
}

// flowKey names a waiting line. Callers of different regions wait apart, since
// a shift cap may hold up those of one region only.
type flowKey struct{ tenant, region string }

// flow is the waiting line of one tenant's callers of one region in one class.
type flow struct {
	key        flowKey
	weight     float64
	finish     float64 // virtual finish time of the last dequeue
	head, tail *Item
	len        int
}

// maxIdleFlows bounds the tenants that a class remembers while none of their
// requests wait.
const maxIdleFlows = 1024

// NewQueue returns an empty queue. specs are sorted by priority; tenants maps
// names to weights.
func NewQueue(specs []ClassSpec, tenants map[string]int) *Queue {
	q := &Queue{byName: make(map[string]*classQueue), tenants: tenants}
	for _, s := range specs {
		s.Weight = max(s.Weight, 1)
		c := &classQueue{spec: s, all: make(map[flowKey]*flow)}
		q.insertClass(c)
		q.weightSum += float64(s.Weight)
	}
	for _, c := range q.classes {
		c.share = ReservedShare * float64(c.spec.Weight) / q.weightSum
	}
	return q
}

func (q *Queue) insertClass(c *classQueue) {
	i := len(q.classes)
	for i > 0 && q.classes[i-1].spec.Priority > c.spec.Priority {
		i--
	}
	q.classes = append(q.classes, nil)
	copy(q.classes[i+1:], q.classes[i:])
	q.classes[i] = c
	q.byName[c.spec.Name] = c
}

// Len returns how many requests wait.
func (q *Queue) Len() int { return q.len }

// LenClass returns how many requests of a class wait.
func (q *Queue) LenClass(name string) int {
	if c := q.byName[name]; c != nil {
		return c.len
	}
	return 0
}

// Ahead returns how many waiting requests go before a new one of the class.
func (q *Queue) Ahead(name string) int {
	n := 0
	for _, c := range q.classes {
		n += c.len
		if c.spec.Name == name {
			return n
		}
	}
	return n
}

// AheadOfRegion is Ahead among the callers of one region.
func (q *Queue) AheadOfRegion(name, region string) int {
	n := 0
	for _, c := range q.classes {
		for _, f := range c.flows {
			if f.key.region == region {
				n += f.len
			}
		}
		if c.spec.Name == name {
			break
		}
	}
	return n
}

// Push appends a request. A class that is not known joins the last one.
func (q *Queue) Push(r *Request, now time.Time) *Item {
	c := q.class(r.Class)
	f := c.flow(flowKey{r.Tenant, r.CallerRegion}, q.tenants)
	it := &Item{Request: r, Enqueued: now, expires: r.Deadline, class: c, flow: f}
	if c.spec.MaxWait > 0 && now.Add(c.spec.MaxWait).Before(it.expires) {
		it.expires = now.Add(c.spec.MaxWait)
	}
	if f.len == 0 {
		f.finish = max(f.finish, c.vtime)
		c.flows = append(c.flows, f)
	}
	f.append(it)
	c.len++
	q.len++
	return it
}

// Remove takes an item out of the queue. Removing twice is harmless.
func (q *Queue) Remove(it *Item) {
	if it.flow == nil {
		return
	}
	c, f := it.class, it.flow
	f.unlink(it)
	it.flow = nil
	c.len--
	q.len--
	if f.len == 0 {
		c.dropFlow(f)
	}
	if c.len == 0 {
		c.credit = 0
	}
}

// Pop dequeues the next request for which accept returns true; only the first
// request of each tenant is offered. It returns nil when none is accepted.
func (q *Queue) Pop(accept func(*Request) bool) *Item {
	if q.len == 0 {
		return nil
	}
	if it := q.popOwed(accept); it != nil {
		return it
	}
	for _, c := range q.classes {
		if it := q.popClass(c, accept); it != nil {
			return it
		}
	}
	return nil
}

// popOwed serves the backlogged class that is owed a dequeue, if any.
func (q *Queue) popOwed(accept func(*Request) bool) *Item {
	for _, c := range q.classes {
		if c.len == 0 || c.credit < 1 {
			continue
		}
		if it := q.popClass(c, accept); it != nil {
			c.credit--
			return it
		}
	}
	return nil
}

// SetNear sets the availability zone whose requests go first among the
// nearDepth first ones of a tenant; empty: none do.
func (q *Queue) SetNear(zone string) { q.near = zone }

// A request of the near zone may overtake nearDepth others of its tenant, that
// came nearSlack before it at most.
const (
	nearDepth = 6
	nearSlack = 50 * time.Millisecond
)

// first returns the request of a line that goes next. accept has accepted the
// head last.
func (q *Queue) first(f *flow, accept func(*Request) bool) *Item {
	if q.near == "" || f.head.Request.Zone == q.near {
		return f.head
	}
	it := f.head.next
	for range nearDepth {
		if it == nil || it.Enqueued.Sub(f.head.Enqueued) > nearSlack {
			break
		}
		if it.Request.Zone == q.near && accept(it.Request) {
			return it
		}
		it = it.next
	}
	if !accept(f.head.Request) { // anew, since what was accepted last counts
		return nil
	}
	return f.head
}

func (q *Queue) popClass(c *classQueue, accept func(*Request) bool) *Item {
	f := c.next(accept)
	if f == nil {
		return nil
	}
	it := q.first(f, accept)
	if it == nil {
		return nil
	}
	c.vtime = f.finish
	f.finish += 1 / f.weight
	q.accrue()
	q.Remove(it)
	return it
}

// accrue credits each backlogged class with its guaranteed part of a dequeue.
func (q *Queue) accrue() {
	for _, c := range q.classes {
		if c.len > 0 {
			c.credit += c.share
		}
	}
}

// Next calls f for the requests that will be dequeued next by priority, of the
// first backlogged class only and most of them in order, until f returns false
// or most have been seen.
func (q *Queue) Next(most int, f func(*Request) bool) {
	for _, c := range q.classes {
		if c.len == 0 {
			continue
		}
		for _, fl := range c.flows {
			for it := fl.head; it != nil && most > 0; it = it.next {
				most--
				if !f(it.Request) {
					return
				}
			}
		}
		return
	}
}

// Taken removes an item that was served without Pop; it counts as a dequeue.
func (q *Queue) Taken(it *Item) {
	if it.flow != nil {
		q.accrue()
	}
	q.Remove(it)
}

// Expired returns the next request whose time in the queue is over, removed;
// nil when there is none. Within a tenant's line the oldest are tested first.
func (q *Queue) Expired(now time.Time) *Item {
	for _, c := range q.classes {
		for _, f := range c.flows {
			for it := f.head; it != nil; it = it.next {
				if !now.Before(it.expires) {
					q.Remove(it)
					return it
				}
			}
		}
	}
	return nil
}

// Last returns the most recently queued request of the longest tenant's line
// of a class, which is the first to be displaced; nil when none waits.
func (q *Queue) Last(class string) *Item {
	c := q.byName[class]
	if c == nil {
		return nil
	}
	var longest *flow
	for _, f := range c.flows {
		if longest == nil || float64(f.len)/f.weight > float64(longest.len)/longest.weight {
			longest = f
		}
	}
	if longest == nil {
		return nil
	}
	return longest.tail
}

func (q *Queue) class(name string) *classQueue {
	if c := q.byName[name]; c != nil {
		return c
	}
	return q.classes[len(q.classes)-1]
}

func (c *classQueue) flow(key flowKey, weights map[string]int) *flow {
	if f := c.all[key]; f != nil {
		return f
	}
	f := &flow{key: key, weight: float64(max(weights[key.tenant], 1)), finish: c.vtime}
	c.all[key] = f
	return f
}

// next returns the backlogged flow of the lowest virtual finish time whose
// first request is accepted.
func (c *classQueue) next(accept func(*Request) bool) *flow {
	var best *flow
	for _, f := range c.flows {
		if best != nil && f.finish >= best.finish {
			continue
		}
		if accept(f.head.Request) {
			best = f
		}
	}
	return best
}

func (c *classQueue) dropFlow(f *flow) {
	for i, g := range c.flows {
		if g == f {
			c.flows = append(c.flows[:i], c.flows[i+1:]...)
			break
		}
	}
	if len(c.all) > maxIdleFlows {
		delete(c.all, f.key)
	}
}

func (f *flow) append(it *Item) {
	it.prev = f.tail
	if f.tail != nil {
		f.tail.next = it
	} else {
		f.head = it
	}
	f.tail = it
	f.len++
}

func (f *flow) unlink(it *Item) {
	if it.prev != nil {
		it.prev.next = it.next
	} else {
		f.head = it.next
	}
	if it.next != nil {
		it.next.prev = it.prev
	} else {
		f.tail = it.prev
	}
	it.prev, it.next = nil, nil
	f.len--
}
