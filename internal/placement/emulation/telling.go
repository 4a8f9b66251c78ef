package emulation

import (
	"masticturn/internal/placement"
)

// share lets a VM tell the others of its region what it has at targets, again
// and again.
func (r *run) share(v *vm) {
	if r.load.Alone || r.now.Sub(start) > r.load.Length {
		return
	}
	r.tell(v)
	r.after(placement.SharePeriod, func() { r.share(v) })
}

// tell lets a VM take one turn of telling.
func (r *run) tell(v *vm) {
	own := func() *placement.Word {
		w := &placement.Word{Services: make(map[string]*placement.Use)}
		if u := v.pool.Tell(); !u.Empty() {
			w.Services[r.load.Name] = u
		}
		return w
	}
	turn := v.teller.Take(own, r.now)
	if turn.Sum {
		r.hear(v, turn.Word)
	}
	for _, name := range turn.To {
		to := r.vmNamed[name]
		r.after(r.load.WithinRegion, func() {
			if turn.Sum {
				r.passDown(v, to, turn.Word)
			} else {
				r.report(v, to, turn.Word)
			}
		})
	}
}

// report is the arrival of a word at the VM above.
func (r *run) report(from, to *vm, w *placement.Word) {
	if !to.teller.Told(from.name, w, r.now) || to.relaying {
		return
	}
	to.relaying = true
	r.after(placement.RelayGap, func() {
		to.relaying = false
		r.tell(to)
	})
}

// passDown is the arrival of the sum at a VM below.
func (r *run) passDown(from, to *vm, w *placement.Word) {
	below, ok := to.teller.Below(from.name)
	if !ok {
		return
	}
	r.hear(to, w)
	for _, name := range below {
		next := r.vmNamed[name]
		r.after(r.load.WithinRegion, func() { r.passDown(to, next, w) })
	}
}

func (r *run) hear(v *vm, w *placement.Word) {
	u := w.Services[r.load.Name]
	if u == nil {
		u = &placement.Use{}
	}
	v.pool.Hear(u, w.Life, r.now)
}
