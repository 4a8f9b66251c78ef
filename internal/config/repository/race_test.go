package repository

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"masticturn/internal/config"
	"masticturn/internal/platform/platformtest"
)

// Parameters of the race. operators*appliesPerOperator must not exceed
// HistoryLength, so that all accepted documents remain in the history.
const (
	operators          = 3
	appliesPerOperator = 5
	raceFaultRate      = 0.4 // probability that a store call fails
	raceRuns           = 12
	raceSeed           = 20261202
	releaseInterval    = 700 * time.Millisecond
)

// outcomes holds the results of Apply by the comment of the proposal.
type outcomes struct {
	mu   sync.Mutex
	errs map[string]error
}

func (o *outcomes) add(comment string, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.errs[comment] = err
}

// TestRacingOperatorsUnderFaults applies documents concurrently while store calls
// fail, responses are lost and writes take effect late. An accepted document must
// be in the history exactly once, one that was rejected by a conflict or not
// stored never, and one with an unknown outcome at most once. Generations must
// increase.
func TestRacingOperatorsUnderFaults(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(raceSeed)
	parameters.MinSuccessfulTests = raceRuns
	properties := gopter.NewProperties(parameters)
	properties.Property("results of Apply agree with the history", prop.ForAll(func(seed uint64) string {
		var fault string
		synctest.Test(t, func(t *testing.T) { fault = race(t, seed) })
		return fault
	}, gen.UInt64()))
	properties.TestingRun(t)
}

// race runs one race and returns a description of the first violation, or "".
func race(t *testing.T, seed uint64) string {
	r := newHarness(t)
	r.store.SetHook(randomFaults(seed))
	stop := make(chan struct{})
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(releaseInterval):
				r.store.ReleaseDelayed()
			}
		}
	}()
	results := &outcomes{errs: make(map[string]error)}
	var group sync.WaitGroup
	for operator := range operators {
		group.Go(func() { r.applyRepeatedly(operator, results) })
	}
	group.Wait()
	close(stop)
	time.Sleep(releaseInterval)
	r.store.SetHook(nil)
	r.store.ReleaseDelayed()
	return r.checkOutcomes(results)
}

func randomFaults(seed uint64) platformtest.Hook {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 1))
	faults := []platformtest.Fault{
		platformtest.FaultUnavailable, platformtest.FaultLostRequest, platformtest.FaultLostResponse, platformtest.FaultDelayedEffect,
	}
	return func(_ context.Context, c platformtest.Call) platformtest.Fault {
		mu.Lock()
		defer mu.Unlock()
		if random.Float64() > raceFaultRate {
			return platformtest.FaultNone
		}
		return faults[random.IntN(len(faults))]
	}
}

// applyRepeatedly applies documents, each based on the generation read from the
// store.
func (r *harness) applyRepeatedly(operator int, results *outcomes) {
	for i := range appliesPerOperator {
		base := config.Generation(0)
		if head, _, err := r.Head(context.Background()); err == nil {
			base = head.Current.Generation
		}
		comment := fmt.Sprintf("%d/%d", operator, i)
		doc := document(r.t, config.Millis(1000+100*operator+i))
		_, err := r.Apply(context.Background(), Proposal{Document: doc, Base: base, Comment: comment})
		results.add(comment, err)
	}
}

// checkOutcomes compares the results of Apply with the history. It returns a
// description of the first violation, or "".
func (r *harness) checkOutcomes(results *outcomes) string {
	head, _, err := r.Head(context.Background())
	if errors.Is(err, ErrNoDocument) {
		head = &Head{}
	}
	times := make(map[string]int)
	last := config.Generation(1 << 40)
	for _, rec := range append([]Record{head.Current}, head.History...) {
		times[rec.Comment]++
		if rec.Generation >= last {
			return fmt.Sprintf("generation %d under %d", rec.Generation, last)
		}
		last = rec.Generation
	}
	for comment, err := range results.errs {
		var unknown *UnknownOutcomeError
		n := times[comment]
		switch {
		case err == nil && n != 1, errors.As(err, &unknown) && n > 1, err != nil && !errors.As(err, &unknown) && n > 0:
			return fmt.Sprintf("Apply of %s returned %v, but the document is in the history %d times", comment, err, n)
		}
	}
	return ""
}
