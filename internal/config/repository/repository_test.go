package repository

import (
	"context"
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"masticturn/examples"
	"masticturn/internal/config"
	"masticturn/internal/kernel"
	"masticturn/internal/platform"
	"masticturn/internal/platform/platformtest"
)

// document returns the Estiba example with the given maximum look-up age, which
// identifies the document in tests.
func document(t testing.TB, maxAge config.Millis) *config.Document {
	t.Helper()
	text, _ := examples.Document("estiba")
	doc, err := config.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	doc.Lookup.MaxAgeMS = maxAge
	return doc
}

type harness struct {
	*Repository
	t     *testing.T
	store *platformtest.Store
}

func newHarness(t *testing.T) *harness {
	store := platformtest.NewStore()
	return &harness{Repository: New(store, kernel.SystemClock{}), t: t, store: store}
}

func (r *harness) apply(base config.Generation, maxAge config.Millis) (*Accepted, error) {
	return r.Apply(context.Background(), Proposal{Document: document(r.t, maxAge), Base: base, Author: "op"})
}

func (r *harness) mustApply(base config.Generation, maxAge config.Millis) *Accepted {
	r.t.Helper()
	a, err := r.apply(base, maxAge)
	if err != nil {
		r.t.Fatal(err)
	}
	return a
}

// current returns the generation and the maximum look-up age of the document in
// the store.
func (r *harness) current() (config.Generation, config.Millis) {
	r.t.Helper()
	head, _, err := r.Head(context.Background())
	if err != nil {
		r.t.Fatal(err)
	}
	packed, err := r.Read(context.Background(), &head.Current, 0)
	if err != nil {
		r.t.Fatal(err)
	}
	doc, err := packed.Document()
	if err != nil {
		r.t.Fatal(err)
	}
	return head.Current.Generation, doc.Lookup.MaxAgeMS
}

// headFaults injects the listed faults into the first calls of an operation on
// the head. For updates, creation of the head counts as well.
func headFaults(op platform.Op, faults ...platformtest.Fault) platformtest.Hook {
	n := 0
	return func(_ context.Context, c platformtest.Call) platformtest.Fault {
		if c.Kind != platform.KindConfig || (c.Op != op && !(op == platform.OpUpdate && c.Op == platform.OpCreate)) {
			return platformtest.FaultNone
		}
		n++
		if n > len(faults) {
			return platformtest.FaultNone
		}
		return faults[n-1]
	}
}

func TestGenerationsIncreaseAndHistoryIsKept(t *testing.T) {
	r := newHarness(t)
	for gen := range config.Generation(HistoryLength + 5) {
		a := r.mustApply(gen, config.Millis(1000+gen))
		if a.Record.Generation != gen+1 {
			t.Fatalf("generation %d after %d", a.Record.Generation, gen)
		}
	}
	head, _, err := r.Head(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if len(head.History) != HistoryLength || head.History[0].Generation != HistoryLength+4 {
		t.Errorf("history of %d, newest %d", len(head.History), head.History[0].Generation)
	}
	r.expectReadable(&head.History[HistoryLength-1])
}

func TestInvalidDocumentIsNotStored(t *testing.T) {
	r := newHarness(t)
	doc := document(t, 0)
	doc.Regions = nil
	_, err := r.Apply(t.Context(), Proposal{Document: doc})
	var invalid *config.InvalidError
	if !errors.As(err, &invalid) {
		t.Fatalf("got %v", err)
	}
	if _, _, err := r.Head(t.Context()); !errors.Is(err, ErrNoDocument) {
		t.Errorf("got %v, want nothing stored", err)
	}
}

func TestConflictReportsChanges(t *testing.T) {
	r := newHarness(t)
	r.mustApply(0, 1000)
	r.mustApply(1, 2000)
	_, err := r.apply(1, 3000)
	var conflict *ConflictError
	if !errors.As(err, &conflict) {
		t.Fatalf("got %v, want a conflict", err)
	}
	if len(conflict.Theirs) != 1 || conflict.Theirs[0].String() != "lookup max_age_ms: 1000 → 2000" {
		t.Errorf("theirs: %v", conflict.Theirs)
	}
	if len(conflict.Yours) != 1 || conflict.Yours[0].String() != "lookup max_age_ms: 1000 → 3000" {
		t.Errorf("yours: %v", conflict.Yours)
	}
}

func TestApplyOfSameDocumentIsUnchanged(t *testing.T) {
	r := newHarness(t)
	r.mustApply(0, 1000)
	a := r.mustApply(0, 1000)
	if !a.Unchanged || a.Record.Generation != 1 {
		t.Errorf("got %+v", a.Record)
	}
}

// TestFaultAtEachStep applies generation 2 on generation 1 with faults at one
// step. In each case the document must be accepted exactly once.
func TestFaultAtEachStep(t *testing.T) {
	const (
		refused     = platformtest.FaultUnavailable
		lostRequest = platformtest.FaultLostRequest
		lostAnswer  = platformtest.FaultLostResponse
	)
	tests := []struct {
		name   string
		op     platform.Op
		faults []platformtest.Fault
	}{
		{"read/outage", platform.OpGet, []platformtest.Fault{refused, refused}},
		{"write/outage", platform.OpUpdate, []platformtest.Fault{refused, refused}},
		{"write/lost request", platform.OpUpdate, []platformtest.Fault{lostRequest}},
		{"write/lost request twice", platform.OpUpdate, []platformtest.Fault{lostRequest, lostRequest}},
		{"write/lost answer", platform.OpUpdate, []platformtest.Fault{lostAnswer}},
		{"write/lost request, then lost answer", platform.OpUpdate, []platformtest.Fault{lostRequest, lostAnswer}},
		{"write/lost request, then outage", platform.OpUpdate, []platformtest.Fault{lostRequest, refused}},
		{"reread/outage after lost answer", platform.OpGet, []platformtest.Fault{platformtest.FaultNone, refused, refused}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newHarness(t)
				r.mustApply(0, 1000)
				hook := headFaults(tt.op, tt.faults...)
				if tt.op == platform.OpGet {
					hook = combineHooks(hook, headFaults(platform.OpUpdate, lostAnswer))
				}
				r.store.SetHook(hook)
				if a := r.mustApply(1, 2000); a.Unchanged || a.Record.Generation != 2 {
					t.Errorf("got %+v", a.Record)
				}
				r.store.SetHook(nil)
				if gen, age := r.current(); gen != 2 || age != 2000 {
					t.Errorf("store holds generation %d, age %d", gen, age)
				}
			})
		})
	}
}

func combineHooks(a, b platformtest.Hook) platformtest.Hook {
	return func(ctx context.Context, c platformtest.Call) platformtest.Fault {
		return max(a(ctx, c), b(ctx, c))
	}
}

// TestLateEffectIsUnknownAndRetryIsSafe delays the effect of a write until after
// the deadline. Before it takes effect, either nothing else is written, the same
// document is applied again or another operator's document is applied. Guards
// against a delayed write that overwrites a later one.
func TestLateEffectIsUnknownAndRetryIsSafe(t *testing.T) {
	tests := []struct {
		name    string
		between func(r *harness)
		gen     config.Generation
		age     config.Millis
	}{
		{"alone", func(*harness) {}, 2, 2000},
		{"after a retry", func(r *harness) { r.mustApply(1, 2000) }, 2, 2000},
		{"after another document", func(r *harness) { r.mustApply(1, 3000) }, 2, 3000},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newHarness(t)
				r.mustApply(0, 1000)
				r.store.SetHook(func(_ context.Context, c platformtest.Call) platformtest.Fault {
					if c.Op == platform.OpUpdate {
						return platformtest.FaultDelayedEffect
					}
					return platformtest.FaultNone
				})
				_, err := r.apply(1, 2000)
				var unknown *UnknownOutcomeError
				if !errors.As(err, &unknown) || unknown.WriteID == "" {
					t.Fatalf("got %v, want an unknown outcome", err)
				}
				r.store.SetHook(nil)
				tt.between(r)
				if r.store.ReleaseDelayed() < 2 {
					t.Error("the write in doubt was not resent")
				}
				if gen, age := r.current(); gen != tt.gen || age != tt.age {
					t.Errorf("store holds generation %d, age %d; want %d, %d", gen, age, tt.gen, tt.age)
				}
			})
		})
	}
}

// TestLateEffectIsFoundInTheHistory loses the response of a write that takes
// effect, and another operator replaces the document before the reread. Apply
// must find its own record in the history.
func TestLateEffectIsFoundInTheHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newHarness(t)
		r.mustApply(0, 1000)
		superseded := false
		r.store.SetHook(func(_ context.Context, c platformtest.Call) platformtest.Fault {
			switch {
			case c.Op == platform.OpUpdate && !superseded:
				return platformtest.FaultLostResponse
			case c.Op == platform.OpGet && r.store.Calls(platform.OpUpdate) == 1 && !superseded:
				superseded = true
				r.mustApply(2, 3000)
			}
			return platformtest.FaultNone
		})
		if a := r.mustApply(1, 2000); a.Record.Generation != 2 {
			t.Errorf("got generation %d", a.Record.Generation)
		}
		if gen, age := r.current(); gen != 3 || age != 3000 {
			t.Errorf("store holds generation %d, age %d", gen, age)
		}
	})
}

func TestStaleReadsDecideNothing(t *testing.T) {
	t.Run("read is older than the base", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			r := newHarness(t)
			r.mustApply(0, 1000)
			r.store.Freeze()
			r.mustApply(1, 2000)
			time.AfterFunc(time.Second, r.store.Unfreeze)
			if a := r.mustApply(2, 3000); a.Record.Generation != 3 {
				t.Errorf("got generation %d", a.Record.Generation)
			}
		})
	})
	t.Run("reread after a lost answer", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			r := newHarness(t)
			r.mustApply(0, 1000)
			r.store.Freeze()
			r.store.SetHook(headFaults(platform.OpUpdate, platformtest.FaultLostResponse))
			time.AfterFunc(time.Second, r.store.Unfreeze)
			if a := r.mustApply(1, 2000); a.Record.Generation != 2 {
				t.Errorf("got generation %d", a.Record.Generation)
			}
		})
	})
}

func TestOutageIsNotStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newHarness(t)
		r.store.SetOutage(true)
		_, err := r.apply(0, 1000)
		var refused *NotStoredError
		if !errors.As(err, &refused) || !errors.Is(err, platform.ErrUnavailable) {
			t.Errorf("got %v", err)
		}
	})
}

// TestStoreThatLostGenerations applies a document when the store has only
// generation 1 but generation 5 is in force. The next generation must be 6.
func TestStoreThatLostGenerations(t *testing.T) {
	r := newHarness(t)
	r.mustApply(0, 1000)
	snap, err := config.NewSnapshot(5, document(t, 5000))
	if err != nil {
		t.Fatal(err)
	}
	a, err := r.Apply(t.Context(), Proposal{Document: document(t, 6000), Base: 5, InForce: snap})
	if err != nil || a.Record.Generation != 6 {
		t.Fatalf("got %+v, %v", a, err)
	}
	_, err = r.Apply(t.Context(), Proposal{Document: document(t, 7000), Base: 1, InForce: snap})
	var conflict *ConflictError
	if !errors.As(err, &conflict) {
		t.Errorf("got %v, want a conflict", err)
	}
}

// randomBlocks returns client blocks that are nearly incompressible.
func randomBlocks(n int) []config.ClientBlock {
	random := rand.New(rand.NewPCG(1, 1))
	blocks := make([]config.ClientBlock, n)
	for i := range blocks {
		var address [16]byte
		binary.LittleEndian.PutUint64(address[:], random.Uint64())
		binary.LittleEndian.PutUint64(address[8:], random.Uint64())
		prefix := netip.PrefixFrom(netip.AddrFrom16(address), 128)
		blocks[i] = config.ClientBlock{CIDR: prefix.String(), Region: "rosario"}
	}
	return blocks
}

func TestLargeDocumentsAreChunked(t *testing.T) {
	r := newHarness(t)
	r.chunkBytes = 128 << 10
	doc := document(t, 1000)
	doc.ClientBlocks = append(doc.ClientBlocks, randomBlocks(20_000)...)
	first, err := r.Apply(t.Context(), Proposal{Document: doc})
	if err != nil {
		t.Fatal(err)
	}
	if len(first.Record.Chunks) < 2 {
		t.Fatalf("%d chunks for %d bytes", len(first.Record.Chunks), first.Record.Bytes)
	}
	r.expectReadable(&first.Record)
	doc.Lookup.MaxAgeMS = 2000
	written := r.store.Calls(platform.OpCreate)
	second, err := r.Apply(t.Context(), Proposal{Document: doc, Base: 1})
	if err != nil || r.store.Calls(platform.OpCreate) != written {
		t.Errorf("identical client blocks were written again: %v", err)
	}
	r.expectReadable(&second.Record)
	slices.Reverse(doc.ClientBlocks)
	if _, err := r.Apply(t.Context(), Proposal{Document: doc, Base: 1}); err == nil {
		t.Fatal("no conflict")
	}
	r.expectChunks(len(first.Record.Chunks), "a conflict")
	for gen := range config.Generation(HistoryLength + 2) {
		r.mustApply(2+gen, config.Millis(3000+gen))
	}
	r.expectChunks(0, "all chunked documents left the history")
}

// expectReadable checks that the complete document of a record can be read.
func (r *harness) expectReadable(rec *Record) {
	r.t.Helper()
	packed, err := r.Read(context.Background(), rec, 0)
	if err != nil {
		r.t.Fatal(err)
	}
	if _, err := packed.Document(); err != nil {
		r.t.Errorf("generation %d: %v", rec.Generation, err)
	}
}

// expectChunks checks the number of chunks in the store.
func (r *harness) expectChunks(want int, after string) {
	r.t.Helper()
	chunks, _, err := r.store.List(context.Background(), platform.KindConfigChunk)
	if err != nil || len(chunks) != want {
		r.t.Errorf("%d chunks after %s, want %d: %v", len(chunks), after, want, err)
	}
}

// TestChunksFollowTheHeadThatIsReplaced applies a document after a stale read. The
// head in the stale read has the same client blocks, the head that is replaced
// does not. Guards against a record without chunks,
// written because the stale head already had them.
func TestChunksFollowTheHeadThatIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newHarness(t)
		many := document(t, 1000)
		many.ClientBlocks = append(many.ClientBlocks, randomBlocks(3000)...)
		first, err := r.Apply(context.Background(), Proposal{Document: many})
		if err != nil || len(first.Record.Chunks) == 0 {
			t.Fatalf("%d chunks, %v", len(first.Record.Chunks), err)
		}
		r.store.Freeze()
		few := r.mustApply(1, 2000)
		snap, err := config.NewSnapshot(few.Record.Generation, document(t, 2000))
		if err != nil {
			t.Fatal(err)
		}
		time.AfterFunc(time.Second, r.store.Unfreeze)
		many.Lookup.MaxAgeMS = 3000
		third, err := r.Apply(context.Background(), Proposal{Document: many, Base: 2, InForce: snap})
		if err != nil {
			t.Fatal(err)
		}
		r.expectReadable(&third.Record)
	})
}

func TestHeadStaysWithinValueLimit(t *testing.T) {
	var head *Head
	for gen := range config.Generation(HistoryLength + 2) {
		body := []byte(strings.Repeat("x", MaxMainBytes))
		next, value, err := head.successor(Record{Generation: gen + 1, Main: body})
		if err != nil || len(value) > platform.MaxValueBytes {
			t.Fatalf("generation %d: %d bytes, %v", gen+1, len(value), err)
		}
		head = next
	}
	if len(head.History) != HistoryLength || !head.History[0].Kept() || head.History[HistoryLength-1].Kept() {
		t.Error("the history does not keep all records, with the documents of the newest")
	}
}

func TestNonexistentBaseIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newHarness(t)
		r.mustApply(0, 1000)
		_, err := r.apply(9, 2000)
		var refused *NotStoredError
		if !errors.As(err, &refused) || refused.Step != StepRead {
			t.Errorf("got %v", err)
		}
		if gen, _ := r.current(); gen != 1 {
			t.Errorf("store holds generation %d", gen)
		}
	})
}
