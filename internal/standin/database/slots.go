package database

import (
	"container/list"
	"context"
	"sync"
	"time"
)

// slots bounds the statements that execute at the same time. Waiting
// statements are served in order of arrival.
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

func (s *slots) grantLocked() {
	for s.used < s.limit && s.waiting.Len() > 0 {
		ch := s.waiting.Remove(s.waiting.Front()).(chan struct{})
		s.used++
		close(ch)
	}
}

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
	case <-ch: // granted meanwhile
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

// sleep waits for d unless ctx ends first.
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
