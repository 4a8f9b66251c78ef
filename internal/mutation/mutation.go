// Package mutation makes spoiled copies of messages and stored objects for
// tests of decoders. The same seeds give the same cases in each run, so that CI
// says the same every time; fuzz targets of the same checks look further.
package mutation

import "math/rand/v2"

// Cases calls check with so many spoiled copies of the seeds.
func Cases(seeds [][]byte, count int, check func(data []byte)) {
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range count {
		data := append([]byte(nil), seeds[i%len(seeds)]...)
		for range 1 + rng.IntN(changesMost) {
			data = change(rng, data, seeds)
		}
		check(data)
	}
}

// changesMost is how many changes a copy gets at most: with more of them hardly
// anything of the seed is left for a decoder to read.
const changesMost = 4

// tokens are put into copies: values of other types, bounds of numbers, and
// bytes that mean something in JSON or msgpack.
var tokens = []string{
	"null", "true", "[]", "{}", `""`, "0", "-1", "1.5", "1e99", "9223372036854775807", "9223372036854775808",
	`"`, ",", ":", "{", "}", "[", "]", "\\", "\x00", "\xff", "\xc0", "\xdd\xff\xff\xff\xff", "\xdf\xff\xff\xff\xff", "\x80", "\x90",
}

// change returns data with one change.
func change(rng *rand.Rand, data []byte, seeds [][]byte) []byte {
	if len(data) == 0 {
		return append(data, tokens[rng.IntN(len(tokens))]...)
	}
	at := rng.IntN(len(data))
	to := at + rng.IntN(min(16, len(data)-at)) + 1
	switch rng.IntN(6) {
	case 0: // another byte
		data[at] = byte(rng.IntN(256))
		return data
	case 1: // a part is missing
		return append(data[:at], data[to:]...)
	case 2: // a part stands twice
		return insert(data, at, data[at:to])
	case 3: // cut off
		return data[:at]
	case 4: // a part of another message
		other := seeds[rng.IntN(len(seeds))]
		if len(other) == 0 {
			return data
		}
		from := rng.IntN(len(other))
		return insert(data, at, other[from:min(len(other), from+32)])
	default: // a token, in place of a part
		return insert(append(data[:at], data[to:]...), at, []byte(tokens[rng.IntN(len(tokens))]))
	}
}

func insert(data []byte, at int, part []byte) []byte {
	out := make([]byte, 0, len(data)+len(part))
	out = append(out, data[:at]...)
	out = append(out, part...)
	return append(out, data[at:]...)
}
