package relaybuf

import "sync"

const (
	// maxSizes is the number of keys of which sizes are kept. Beyond it all are forgotten.
	maxSizes = 4096
	// sizeDecay is the factor by which the expected size shrinks with each smaller response.
	sizeDecay = 0.98
)

// Sizes predicts the sizes of responses by those before them. It is safe for concurrent use.
type Sizes struct {
	mu       sync.Mutex
	expected map[string]float64
}

// Expect returns the size in bytes to reserve for a response, or 0 if responses of this key fit into one
// part. It is about the largest recent size.
func (s *Sizes) Expect(key string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if size := int64(s.expected[key]); size > PartBytes {
		return size
	}
	return 0
}

// Observe records the size of a complete response.
func (s *Sizes) Observe(key string, size int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.expected[key]
	if !ok && size <= PartBytes {
		return
	}
	if s.expected == nil || len(s.expected) >= maxSizes {
		s.expected = make(map[string]float64)
	}
	s.expected[key] = max(float64(size), sizeDecay*known)
}
