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

// Sizes of a race: all accepted documents stay in the history.
const (
	racers       = 3
	appliesEach  = 5
	raceFaults   = 0.4 // chance of a fault of a call
	raceRuns     = 12
	raceSeed     = 20261202
	raceLateEach = 700 * time.Millisecond
)

// verdicts holds what operators were told, by the comment of the proposal.
type verdicts struct {
	mu   sync.Mutex
	told map[string]error
}

func (v *verdicts) add(comment string, err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.told[comment] = err
}

// TestRacingOperatorsUnderFaults has operators race while calls fail, answers
// are lost and writes take effect late. Whoever was told 'accepted' is in the
// history exactly once, whoever was told 'conflict' or 'not stored' never,
// whoever was told 'unknown' at most once; generations rise.
func TestRacingOperatorsUnderFaults(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(raceSeed)
	parameters.MinSuccessfulTests = raceRuns
	properties := gopter.NewProperties(parameters)
	properties.Property("what operators are told is true", prop.ForAll(func(seed uint64) string {
		var fault string
		synctest.Test(t, func(t *testing.T) { fault = race(t, seed) })
		return fault
	}, gen.UInt64()))
	properties.TestingRun(t)
}

// race returns what was wrong, "" when nothing was.
func race(t *testing.T, seed uint64) string {
	r := newRig(t)
	r.store.SetHook(randomFaults(seed))
	stop := make(chan struct{})
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(raceLateEach):
				r.store.ReleaseDelayed()
			}
		}
	}()
	v := &verdicts{told: make(map[string]error)}
	var group sync.WaitGroup
	for operator := range racers {
		group.Go(func() { r.operate(operator, v) })
	}
	group.Wait()
	close(stop)
	time.Sleep(raceLateEach)
	r.store.SetHook(nil)
	r.store.ReleaseDelayed()
	return r.judge(v)
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
		if random.Float64() > raceFaults {
			return platformtest.FaultNone
		}
		return faults[random.IntN(len(faults))]
	}
}

// operate applies documents on whatever base the store shows.
func (r *rig) operate(operator int, v *verdicts) {
	for i := range appliesEach {
		base := config.Generation(0)
		if head, _, err := r.Head(context.Background()); err == nil {
			base = head.Current.Generation
		}
		comment := fmt.Sprintf("%d/%d", operator, i)
		doc := document(r.t, config.Millis(1000+100*operator+i))
		_, err := r.Apply(context.Background(), Proposal{Document: doc, Base: base, Comment: comment})
		v.add(comment, err)
	}
}

// judge compares what operators were told with the history.
func (r *rig) judge(v *verdicts) string {
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
	for comment, err := range v.told {
		var unknown *UnknownError
		n := times[comment]
		switch {
		case err == nil && n != 1, errors.As(err, &unknown) && n > 1, err != nil && !errors.As(err, &unknown) && n > 0:
			return fmt.Sprintf("%s was told %v and is in the history %d times", comment, err, n)
		}
	}
	return ""
}
