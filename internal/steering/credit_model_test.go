package steering

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"testing"
	"time"
)

// The model: one target, a granter that also serves its own requests, a
// grantee, a network that loses, doubles, delays and reorders. Every
// interleaving up to modelDepth events is tried (states that were seen with at
// least as many events left are not tried again), and beyond that modelWalks
// walks of modelSteps events from a fixed seed.
const (
	modelSlots  = 2
	modelTTL    = 2 // in ticks
	modelMaxRun = 2
	modelDepth  = 7
	modelWalks  = 20000
	modelSteps  = 60
	modelTick   = time.Second
	// modelRestarts is how often granter and grantee restart in one run.
	modelRestarts = 2
)

var modelTerms = CreditTerms{TTL: modelTTL * modelTick, MaxRun: modelMaxRun * modelTick}

// modelRecovery covers all that a predecessor may have granted.
const modelRecovery = (modelTTL + modelMaxRun) * modelTick

type creditModel struct {
	now      time.Time
	granter  *Granter
	grantee  *Grantee
	inc      uint64
	own      int // permits of the granter's own requests
	running  []modelRun
	demands  []Demand
	grants   []Grant
	restarts int // of granter and grantee so far
}

// modelRun is a request that runs at the target.
type modelRun struct {
	inc  uint64
	left int // ticks
}

func newCreditModel() *creditModel {
	now := time.Unix(0, 0)
	return &creditModel{
		now:     now,
		granter: NewGranter(modelTerms, 0, now),
		grantee: &Grantee{},
		inc:     1,
	}
}

func (m *creditModel) clone() *creditModel {
	c := *m
	c.granter = m.granter.clone()
	g := *m.grantee
	g.sent = append([]sentDemand(nil), g.sent...)
	c.grantee = &g
	c.running = append([]modelRun(nil), m.running...)
	c.demands = append([]Demand(nil), m.demands...)
	c.grants = append([]Grant(nil), m.grants...)
	return &c
}

func (g *Granter) clone() *Granter {
	c := *g
	c.grantees = make(map[granteeKey]*grantee)
	for k, e := range g.grantees {
		n := *e
		n.grants = append([]outstanding(nil), e.grants...)
		c.grantees[k] = &n
	}
	c.held = make(map[string]int)
	for k, v := range g.held {
		c.held[k] = v
	}
	return &c
}

func (m *creditModel) runningOf(inc uint64) int {
	n := 0
	for _, r := range m.running {
		if inc == 0 || r.inc == inc {
			n++
		}
	}
	return n
}

func (m *creditModel) spare() int {
	if m.granter.Recovering(m.now) {
		return 0
	}
	return modelSlots - m.own - m.granter.Held("t")
}

// creditEvents are the events of the model; each returns false when it can't
// happen in the state.
var creditEvents = []struct {
	name string
	do   func(m *creditModel) bool
}{
	{"ask", func(m *creditModel) bool { return m.ask(modelSlots) }},
	{"ask-for-none", func(m *creditModel) bool { return m.ask(0) }},
	{"answer", func(m *creditModel) bool { return m.answer(0, false) }},
	{"answer-later", func(m *creditModel) bool { return m.answer(1, false) }},
	{"answer-doubled", func(m *creditModel) bool { return m.answer(0, true) }},
	{"lose-demand", func(m *creditModel) bool {
		if len(m.demands) == 0 {
			return false
		}
		m.demands = m.demands[1:]
		return true
	}},
	{"adopt", func(m *creditModel) bool { return m.adopt(0, false) }},
	{"adopt-later", func(m *creditModel) bool { return m.adopt(1, false) }},
	{"adopt-doubled", func(m *creditModel) bool { return m.adopt(0, true) }},
	{"lose-grant", func(m *creditModel) bool {
		if len(m.grants) == 0 {
			return false
		}
		m.grants = m.grants[1:]
		return true
	}},
	{"start-remote", func(m *creditModel) bool {
		slots := m.grantee.Slots(m.now)
		if len(slots) == 0 || m.runningOf(m.inc) >= slots[0].Slots {
			return false
		}
		m.running = append(m.running, modelRun{m.inc, modelMaxRun})
		return true
	}},
	{"end-remote", func(m *creditModel) bool {
		if len(m.running) == 0 {
			return false
		}
		m.running = m.running[1:]
		return true
	}},
	{"start-own", func(m *creditModel) bool {
		if m.spare() <= 0 {
			return false
		}
		m.own++
		return true
	}},
	{"end-own", func(m *creditModel) bool {
		if m.own == 0 {
			return false
		}
		m.own--
		return true
	}},
	{"tick", func(m *creditModel) bool {
		kept := m.running[:0]
		for _, r := range m.running {
			if r.left--; r.left > 0 {
				kept = append(kept, r)
			}
		}
		m.running = kept
		m.now = m.now.Add(modelTick)
		m.granter.Sweep(m.now)
		return true
	}},
	{"restart-grantee", func(m *creditModel) bool {
		if m.restarts == modelRestarts {
			return false
		}
		m.restarts++
		m.grantee = &Grantee{}
		m.inc++
		return true
	}},
	{"restart-granter", func(m *creditModel) bool {
		if m.restarts == modelRestarts {
			return false
		}
		m.restarts++
		m.own = 0
		m.granter = NewGranter(modelTerms, modelRecovery, m.now)
		return true
	}},
}

func (m *creditModel) ask(want int) bool {
	if len(m.demands) >= 2 {
		return false
	}
	var inUse []TargetSlots
	if n := m.runningOf(m.inc); n > 0 {
		inUse = []TargetSlots{{"t", n}}
	}
	d := m.grantee.Demand(want, inUse, m.now)
	d.VM, d.Incarnation = "e", m.inc
	m.demands = append(m.demands, d)
	return true
}

func (m *creditModel) answer(i int, keep bool) bool {
	if i >= len(m.demands) {
		return false
	}
	d := m.demands[i]
	if !keep {
		m.demands = append(m.demands[:i:i], m.demands[i+1:]...)
	}
	spare := []TargetSlots{{"t", max(0, modelSlots-m.own-m.granter.Held("t"))}}
	grant, ok := m.granter.Demand(d, spare, modelSlots, m.now)
	if ok && len(m.grants) < 2 {
		grant.VM = fmt.Sprint(d.Incarnation)
		m.grants = append(m.grants, grant)
	}
	return true
}

func (m *creditModel) adopt(i int, keep bool) bool {
	if i >= len(m.grants) {
		return false
	}
	g := m.grants[i]
	if !keep {
		m.grants = append(m.grants[:i:i], m.grants[i+1:]...)
	}
	if g.VM == fmt.Sprint(m.inc) {
		m.grantee.Adopt(g, m.now)
	}
	return true
}

func (m *creditModel) key() string {
	var b strings.Builder
	at := func(t time.Time) int64 { return int64(max(t.Sub(m.now), -modelTick) / modelTick) }
	fmt.Fprint(&b, at(m.granter.ready), m.own, m.running, m.inc, m.restarts, m.demands, m.grants, "|")
	g := m.grantee
	fmt.Fprint(&b, g.seq, g.acting, g.slots, at(g.expires))
	for _, s := range g.sent {
		fmt.Fprint(&b, ",", s.seq, at(s.at))
	}
	var lines []string
	for k, e := range m.granter.grantees {
		line := fmt.Sprint(k, e.seq, e.inUse, at(e.inUseUntil))
		for _, o := range e.grants {
			line += fmt.Sprint(o.seq, o.slots, at(o.until))
		}
		lines = append(lines, line)
	}
	sort.Strings(lines)
	fmt.Fprint(&b, lines)
	return b.String()
}

// check returns what is wrong with the state, "" when nothing is.
func (m *creditModel) check() string {
	if n := m.own + len(m.running); n > modelSlots && !m.granter.Recovering(m.now) {
		return fmt.Sprintf("%d requests at a target of %d slots", n, modelSlots)
	}
	if m.granter.Recovering(m.now) {
		return ""
	}
	if n := len(m.running); n > m.granter.Held("t") {
		return fmt.Sprintf("%d requests run under credits, %d are held", n, m.granter.Held("t"))
	}
	return ""
}

// explore tries every interleaving; it returns the first bad path.
func explore(m *creditModel, depth int, seen map[string]int, path []string) []string {
	if wrong := m.check(); wrong != "" {
		return append(path, wrong)
	}
	if depth == 0 {
		return nil
	}
	key := m.key()
	if seen[key] >= depth {
		return nil
	}
	seen[key] = depth
	for _, e := range creditEvents {
		next := m.clone()
		if !e.do(next) {
			continue
		}
		if bad := explore(next, depth-1, seen, append(path[:len(path):len(path)], e.name)); bad != nil {
			return bad
		}
	}
	return nil
}

func TestCreditsNeverOverloadInAnyInterleaving(t *testing.T) {
	seen := make(map[string]int)
	if bad := explore(newCreditModel(), modelDepth, seen, nil); bad != nil {
		t.Errorf("overload: %s", strings.Join(bad, ", "))
	}
	t.Logf("%d states", len(seen))
}

func TestCreditsNeverOverloadOnLongWalks(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range modelWalks {
		m := newCreditModel()
		var path []string
		for range modelSteps {
			e := creditEvents[rng.IntN(len(creditEvents))]
			if !e.do(m) {
				continue
			}
			path = append(path, e.name)
			if wrong := m.check(); wrong != "" {
				t.Fatalf("%s: %s", strings.Join(path, ", "), wrong)
			}
		}
	}
}

// TestCreditModelReachesEveryStepUnderEveryFault shows that the walks cause
// each fault at each step of granter and grantee.
func TestCreditModelReachesEveryStepUnderEveryFault(t *testing.T) {
	faults := []string{
		"answer-later", "answer-doubled", "lose-demand", "adopt-later", "adopt-doubled", "lose-grant",
		"restart-grantee", "restart-granter", "tick",
	}
	rng := rand.New(rand.NewPCG(3, 4))
	hit := make(map[string]bool)
	for range 5000 {
		m := newCreditModel()
		for range modelSteps {
			granter, grantee := m.granter.Step(m.now), m.grantee.Step(m.now)
			e := creditEvents[rng.IntN(len(creditEvents))]
			if e.do(m) {
				hit[e.name+" at granter "+granter.String()] = true
				hit[e.name+" at grantee "+grantee.String()] = true
			}
		}
	}
	for _, fault := range faults {
		for _, s := range GranterSteps() {
			if !hit[fault+" at granter "+s.String()] {
				t.Errorf("%s at granter %v is never reached", fault, s)
			}
		}
		for _, s := range GranteeSteps() {
			if !hit[fault+" at grantee "+s.String()] {
				t.Errorf("%s at grantee %v is never reached", fault, s)
			}
		}
	}
}
