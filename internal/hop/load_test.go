package hop

import (
	"os"
	"testing"
	"time"

	"geraniumbeam/internal/clock"
	"geraniumbeam/internal/dbpool"
	"geraniumbeam/internal/topology"
)

// Guards against an owner that counts as failed because one request passed its own
// deadline, so that the next ones take another owner or a direct connection.
func TestExpiredRequestIsNoFailureOfTheOwner(t *testing.T) {
	for _, atOwners := range []bool{false, true} {
		o := newOwner(t, 2)
		o.pool = dbpool.New(dbpool.Config{
			Database: topology.Database{ID: "db-1", Service: "ledger"}, Dial: o.db.dial, Clock: clock.Real{}, Now: clock.SinceBoot,
			Sizing: dbpool.Sizing{MaxOpen: 2, IdleTimeout: time.Minute}, QueueAtOwners: atOwners,
		})
		o.server.QueueAtOwners = atOwners
		p := o.clientPool()
		l := acquire(t, p)
		if _, err := l.Run(dbpool.Exchange{Statement: readStatement("one"), Deadline: testDeadline()}); err != nil {
			t.Fatal(err)
		}
		o.db.mu.Lock()
		o.db.fail = os.ErrDeadlineExceeded
		o.db.mu.Unlock()
		if _, err := l.Run(dbpool.Exchange{Statement: readStatement("two"), Deadline: testDeadline()}); err == nil || dbpool.IsNotSent(err) {
			t.Fatalf("error %v, want an exchange with an unknown outcome", err)
		}
		l.Discard()
		if _, failed := p.UnresponsiveSince(); failed == atOwners {
			t.Errorf("with QueueAtOwners %v: the owner counts as failed: %v", atOwners, failed)
		}
	}
}
