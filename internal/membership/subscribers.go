package membership

import (
	"slices"
	"sync"
)

// subscribers is a list of callbacks that is safe for concurrent use.
type subscribers[T any] struct {
	mu    sync.Mutex
	funcs []*func(T)
}

func (s *subscribers[T]) add(f func(T)) (cancel func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := &f
	s.funcs = append(s.funcs, entry)
	return func() { s.remove(entry) }
}

func (s *subscribers[T]) remove(entry *func(T)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.funcs = slices.DeleteFunc(slices.Clone(s.funcs), func(f *func(T)) bool { return f == entry })
}

func (s *subscribers[T]) call(v T) {
	s.mu.Lock()
	funcs := s.funcs
	s.mu.Unlock()
	for _, f := range funcs {
		(*f)(v)
	}
}
