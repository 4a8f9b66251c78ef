package forward

import (
	"sync"
	"sync/atomic"

	"masticturn/internal/config"
)

// tokenUnit is one retry, in thousandths, so that fractions can be added.
const tokenUnit = 1000

// bucket holds retry tokens: first attempts add a fraction, retries take one. It starts full.
type bucket struct{ tokens atomic.Int64 }

func newBucket(r *config.Retry) *bucket {
	b := &bucket{}
	b.tokens.Store(most(r))
	return b
}

// most is how many tokens may be saved up.
func most(r *config.Retry) int64 { return int64(r.BudgetBurst * tokenUnit) }

func (b *bucket) deposit(r *config.Retry) {
	if b.tokens.Load() < most(r) {
		b.tokens.Add(int64(r.BudgetFraction * tokenUnit))
	}
}

func (b *bucket) withdraw() bool {
	if b.tokens.Add(-tokenUnit) >= 0 {
		return true
	}
	b.tokens.Add(tokenUnit)
	return false
}

// budget limits retries and hedges to a fraction of the first attempts, per service and per target
// that causes them.
type budget struct {
	services sync.Map // service name -> *bucket
	targets  sync.Map // target name -> *bucket
}

// attempted counts a first attempt for a service.
func (b *budget) attempted(service string, r *config.Retry) {
	bucketOf(&b.services, service, r).deposit(r)
}

// attemptedAt counts an attempt at a target.
func (b *budget) attemptedAt(target string, r *config.Retry) {
	bucketOf(&b.targets, target, r).deposit(r)
}

// spend takes one retry caused by a target; false if the budget is exhausted. An empty target has
// caused nothing.
func (b *budget) spend(service, target string, r *config.Retry) bool {
	s := bucketOf(&b.services, service, r)
	if target == "" {
		return s.withdraw()
	}
	t := bucketOf(&b.targets, target, r)
	if !t.withdraw() {
		return false
	}
	if s.withdraw() {
		return true
	}
	t.tokens.Add(tokenUnit)
	return false
}

// available reports whether spend would succeed now.
func (b *budget) available(service, target string, r *config.Retry) bool {
	return bucketOf(&b.services, service, r).tokens.Load() >= tokenUnit &&
		bucketOf(&b.targets, target, r).tokens.Load() >= tokenUnit
}

func bucketOf(m *sync.Map, name string, r *config.Retry) *bucket {
	if v, ok := m.Load(name); ok {
		return v.(*bucket)
	}
	v, _ := m.LoadOrStore(name, newBucket(r))
	return v.(*bucket)
}

// keep forgets the targets for which known is false.
func (b *budget) keep(known func(target string) bool) {
	b.targets.Range(func(k, _ any) bool {
		if !known(k.(string)) {
			b.targets.Delete(k)
		}
		return true
	})
}
