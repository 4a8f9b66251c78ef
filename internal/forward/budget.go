package forward

import (
	"sync"
	"sync/atomic"
)

// Tokens are counted in thousandths, so that a fraction can be added for each
// first attempt.
const (
	tokenUnit  = 1000
	tokenBurst = 10 * tokenUnit // most retries saved up, and the start
)

// bucket holds retry tokens: first attempts add a fraction, retries take one.
type bucket struct{ tokens atomic.Int64 }

func newBucket() *bucket {
	b := &bucket{}
	b.tokens.Store(tokenBurst)
	return b
}

func (b *bucket) deposit(n int64) {
	if b.tokens.Load() < tokenBurst {
		b.tokens.Add(n)
	}
}

func (b *bucket) withdraw() bool {
	if b.tokens.Add(-tokenUnit) >= 0 {
		return true
	}
	b.tokens.Add(tokenUnit)
	return false
}

// budget bounds retries and hedges to a fraction of the first attempts,
// overall and for each target whose failure causes them.
type budget struct {
	overall *bucket
	targets sync.Map // target name -> *bucket
}

func newBudget() *budget { return &budget{overall: newBucket()} }

// attempted counts a first attempt.
func (b *budget) attempted(fraction float64) { b.overall.deposit(int64(fraction * tokenUnit)) }

// attemptedAt counts an attempt at a target.
func (b *budget) attemptedAt(target string, fraction float64) {
	b.of(target).deposit(int64(fraction * tokenUnit))
}

// spend takes one retry caused by the target; false when there is none left.
func (b *budget) spend(target string) bool {
	if target == "" {
		return b.overall.withdraw()
	}
	t := b.of(target)
	if !t.withdraw() {
		return false
	}
	if b.overall.withdraw() {
		return true
	}
	t.tokens.Add(tokenUnit)
	return false
}

// available reports whether spend would succeed now.
func (b *budget) available(target string) bool {
	return b.overall.tokens.Load() >= tokenUnit && b.of(target).tokens.Load() >= tokenUnit
}

func (b *budget) of(target string) *bucket {
	if v, ok := b.targets.Load(target); ok {
		return v.(*bucket)
	}
	v, _ := b.targets.LoadOrStore(target, newBucket())
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
