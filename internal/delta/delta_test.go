package delta

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"masticturn/internal/pack"
)

const maxTestBytes = 1 << 20

// document returns the text of n routes, with the weight of one of them.
func document(n, changed, weight int) []byte {
	var b bytes.Buffer
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range n {
		w := rng.IntN(100)
		if i == changed {
			w = weight
		}
		fmt.Fprintf(&b, `{"name":"r-%07x","repeat":"allowed","objective_ms":600,"class":"interactive","affinity":true,`+
			`"path_prefix":"/%07x/","parts":[{"service":"svc-1","weight":%d},{"service":"svc-2","weight":%d}],`+
			`"timeout_ms":4000,"max_attempts":2,"allowed_regions":[],"require_key":false,"max_body_bytes":1048576},`, rng.Uint32()>>4, rng.Uint32()>>4, w, 100-w)
	}
	return b.Bytes()
}

func checkRoundTrip(t *testing.T, base, target []byte) []byte {
	t.Helper()
	d, err := Encode(base, target)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Apply(base, d, maxTestBytes)
	if err != nil || !bytes.Equal(got, target) {
		t.Fatalf("%d bytes, want %d; %v", len(got), len(target), err)
	}
	return d
}

func TestDeltaSizeFollowsTheChange(t *testing.T) {
	for _, n := range []int{100, 200, 1000, 2000} {
		base := document(n, 0, 1)
		d := checkRoundTrip(t, base, document(n, n/2, 101))
		t.Logf("%d routes, %d bytes: the delta of one weight has %d bytes", n, len(base), len(d))
		if most := 1 << 10; len(d) > most {
			t.Errorf("%d routes, %d bytes: the delta of one weight has %d bytes, want at most %d", n, len(base), len(d), most)
		}
	}
}

func TestDeltaOfAddedAndRemovedText(t *testing.T) {
	text := document(50, 0, 1)
	for name, c := range map[string]struct{ base, target []byte }{
		"empty base":      {nil, text},
		"empty target":    {text, nil},
		"both empty":      {nil, nil},
		"equal":           {text, text},
		"prefix removed":  {text, text[777:]},
		"suffix removed":  {text, text[:777]},
		"doubled":         {text, append(bytes.Clone(text), text...)},
		"halves swapped":  {text, append(bytes.Clone(text[5000:]), text[:5000]...)},
		"nothing shared":  {text, bytes.Repeat([]byte{0, 1, 2, 3}, 1000)},
		"shorter a block": {[]byte("abc"), []byte("abcd")},
		"one repeated":    {bytes.Repeat([]byte{7}, 1000), bytes.Repeat([]byte{7}, 999)},
	} {
		t.Run(name, func(t *testing.T) { checkRoundTrip(t, c.base, c.target) })
	}
}

// A target of the maximum size that shares nothing with the base is restored.
func TestDeltaOfTheMaximumSize(t *testing.T) {
	target := make([]byte, maxTestBytes)
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range target {
		target[i] = byte(rng.Uint32())
	}
	checkRoundTrip(t, document(10, 0, 1), target)
}

// Any edits of any text are restored.
func TestDeltaRestoresAnyText(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	properties := gopter.NewProperties(parameters)
	properties.Property("apply inverts encode", prop.ForAll(func(seed int64) bool {
		rng := rand.New(rand.NewPCG(uint64(seed), 1))
		base := randomText(rng)
		target := bytes.Clone(base)
		for range rng.IntN(8) {
			at := rng.IntN(len(target) + 1)
			end := min(at+rng.IntN(200), len(target))
			target = append(append(bytes.Clone(target[:at]), randomText(rng)[:rng.IntN(50)]...), target[end:]...)
		}
		d, err := Encode(base, target)
		if err != nil {
			return false
		}
		got, err := Apply(base, d, maxTestBytes)
		return err == nil && bytes.Equal(got, target)
	}, gen.Int64()))
	properties.TestingRun(t)
}

// randomText returns a repetitive text of 50 bytes or more.
func randomText(rng *rand.Rand) []byte {
	words := []string{`{"name":"`, `","weight":`, `"},`, strings.Repeat("x", 40), "a", "b"}
	var b bytes.Buffer
	for b.Len() < 50+rng.IntN(2000) {
		b.WriteString(words[rng.IntN(len(words))])
	}
	return b.Bytes()
}

func TestDeltaOfAnotherBaseIsRefused(t *testing.T) {
	d := checkRoundTrip(t, document(10, 0, 1), document(10, 0, 2))
	if _, err := Apply(document(10, 0, 3), d, maxTestBytes); !errors.Is(err, ErrOtherBase) {
		t.Errorf("got %v, want %v", err, ErrOtherBase)
	}
}

func TestInvalidDeltasAreRefused(t *testing.T) {
	base := document(10, 0, 1)
	for name, d := range map[string]delta{
		"copy after the end":      {Pieces: []piece{{Offset: len(base) - 1, Copy: 2}}},
		"negative offset":         {Pieces: []piece{{Offset: -1, Copy: 1}}},
		"negative length":         {Pieces: []piece{{Offset: 1, Copy: -1}}},
		"insert more than there":  {Pieces: []piece{{Insert: 2}}, Inserted: []byte{1}},
		"negative insert":         {Pieces: []piece{{Insert: -1}}},
		"overflowing offset":      {Pieces: []piece{{Offset: int(^uint(0) >> 1), Copy: 1}}},
		"larger than the maximum": {Pieces: []piece{{Copy: len(base)}, {Copy: len(base)}}},
		"another digest":          {Pieces: []piece{{Copy: 1}}},
	} {
		t.Run(name, func(t *testing.T) {
			d.BaseDigest = xxhash.Sum64(base)
			encoded, err := pack.Pack(&d)
			if err != nil {
				t.Fatal(err)
			}
			if got, err := Apply(base, encoded, len(base)+1); err == nil {
				t.Errorf("accepted as %d bytes", len(got))
			}
		})
	}
	if _, err := Apply(base, []byte("no delta"), maxTestBytes); err == nil {
		t.Error("random bytes are accepted")
	}
}

func BenchmarkEncode(b *testing.B) {
	base, target := document(1000, 0, 1), document(1000, 500, 101)
	b.SetBytes(int64(len(target)))
	for b.Loop() {
		if _, err := Encode(base, target); err != nil {
			b.Fatal(err)
		}
	}
}
