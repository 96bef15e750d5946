package database

import (
	"container/list"
	"context"
	"sync"
	"time"
)

// slots limits the number of statements that execute concurrently. Waiting
// statements get a slot in order of arrival.
type slots struct {
	mu      sync.Mutex
	limit   int
	used    int
	waiting list.List // of chan struct{}
}

func (s *slots) setLimit(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = n
	s.grantLocked()
}

// grantLocked gives free slots to waiting statements. mu is held.
func (s *slots) grantLocked() {
	for s.used < s.limit && s.waiting.Len() > 0 {
		ch := s.waiting.Remove(s.waiting.Front()).(chan struct{})
		s.used++
		close(ch)
	}
}

// acquire waits for a slot. The caller releases it.
func (s *slots) acquire(ctx context.Context) error {
	s.mu.Lock()
	ch := make(chan struct{})
	el := s.waiting.PushBack(ch)
	s.grantLocked()
	s.mu.Unlock()
	select {
	case <-ch:
		return nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-ch: // granted after the context ended
		s.used--
		s.grantLocked()
	default:
		s.waiting.Remove(el)
	}
	return errorf(stateCancelled, "statement cancelled on user request")
}

func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used--
	s.grantLocked()
}

// sleep waits for d. It returns an error if ctx ends first.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return errorf(stateCancelled, "statement cancelled on user request")
	}
}
