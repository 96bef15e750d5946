package pool

import "sync"

// inFlight counts requests and open transactions, so that a drain can wait until
// none are left.
type inFlight struct {
	mu    sync.Mutex
	count int
	zero  chan struct{} // closed while count is 0
}

func (f *inFlight) init() {
	f.zero = make(chan struct{})
	close(f.zero)
}

func (f *inFlight) add() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.count == 0 {
		f.zero = make(chan struct{})
	}
	f.count++
}

func (f *inFlight) done() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
	if f.count == 0 {
		close(f.zero)
	}
}

// drained returns a channel that is closed when nothing is in flight.
func (f *inFlight) drained() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.zero
}
