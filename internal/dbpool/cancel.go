package dbpool

import (
	"context"
	"errors"

	"geraniumbeam/internal/result"
)

// dialCancelled records a dial that the request gave up. It shows nothing about the
// database, which may still count the connection.
func (p *Pool) dialCancelled() {
	p.count(metricConnections, "cancelled")
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.health.cancel()
	p.settle()
}

// isCancelled reports whether a request was given up, other than by its deadline.
func isCancelled(ctx context.Context) bool { return errors.Is(ctx.Err(), context.Canceled) }

// isAnswer reports whether a dial failed because the peer refused it.
func isAnswer(err error) bool {
	var refused *result.Error
	return errors.As(err, &refused)
}

func errCancelled(id string) error {
	return result.Errorf(result.Cancelled, "the request was cancelled before it had a connection to database %s", id)
}
