package forward

import (
	"sync"
	"sync/atomic"

	"masticturn/internal/config"
)

// tokensPerRetry is the price of one retry. Deposits are fractions of it.
const tokensPerRetry = 1000

// bucket is a token bucket for retries: attempts deposit the fraction BudgetFraction of a retry, retries
// withdraw one. It starts full.
type bucket struct{ tokens atomic.Int64 }

func newBucket(r *config.Retry) *bucket {
	b := &bucket{}
	b.tokens.Store(maxTokens(r))
	return b
}

// maxTokens returns the capacity of a bucket in tokens.
func maxTokens(r *config.Retry) int64 { return int64(r.BudgetBurst * tokensPerRetry) }

func (b *bucket) deposit(r *config.Retry) {
	if b.tokens.Load() < maxTokens(r) {
		b.tokens.Add(int64(r.BudgetFraction * tokensPerRetry))
	}
}

func (b *bucket) withdraw() bool {
	if b.tokens.Add(-tokensPerRetry) >= 0 {
		return true
	}
	b.tokens.Add(tokensPerRetry)
	return false
}

// retryBudget limits retries and hedges to a fraction of the requests, per service, and of the attempts,
// per target that causes them.
type retryBudget struct {
	services sync.Map // service name -> *bucket
	targets  sync.Map // target name -> *bucket
}

// depositForService deposits for the first attempt of a request to a service.
func (b *retryBudget) depositForService(service string, r *config.Retry) {
	bucketOf(&b.services, service, r).deposit(r)
}

// depositForTarget deposits for an attempt at a target.
func (b *retryBudget) depositForTarget(target string, r *config.Retry) {
	bucketOf(&b.targets, target, r).deposit(r)
}

// withdraw takes one retry caused by a target; false if the budget is exhausted. If target is empty,
// only the service's budget is charged.
func (b *retryBudget) withdraw(service, target string, r *config.Retry) bool {
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
	t.tokens.Add(tokensPerRetry)
	return false
}

// available reports whether withdraw would succeed now.
func (b *retryBudget) available(service, target string, r *config.Retry) bool {
	return bucketOf(&b.services, service, r).tokens.Load() >= tokensPerRetry &&
		bucketOf(&b.targets, target, r).tokens.Load() >= tokensPerRetry
}

func bucketOf(m *sync.Map, name string, r *config.Retry) *bucket {
	if v, ok := m.Load(name); ok {
		return v.(*bucket)
	}
	v, _ := m.LoadOrStore(name, newBucket(r))
	return v.(*bucket)
}

// retain drops the targets for which known is false.
func (b *retryBudget) retain(known func(target string) bool) {
	b.targets.Range(func(k, _ any) bool {
		if !known(k.(string)) {
			b.targets.Delete(k)
		}
		return true
	})
}
