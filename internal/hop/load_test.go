package hop

import (
	"bytes"
	"encoding/gob"
	"net"
	"os"
	"testing"
	"time"

	"geraniumbeam/internal/balance"
	"geraniumbeam/internal/clock"
	"geraniumbeam/internal/dbpool"
	"geraniumbeam/internal/statement"
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

// Guards against instances that learn the load of a database only from their own
// exchanges, and against a reply that carries the load in deployments of one region.
func TestOwnerReportsTheLoad(t *testing.T) {
	for _, atOwners := range []bool{false, true} {
		o := newOwner(t, 2)
		o.server.QueueAtOwners = atOwners
		p := o.clientPool()
		l := acquire(t, p)
		if _, err := l.Run(dbpool.Exchange{Statement: readStatement("one"), Deadline: testDeadline()}); err != nil {
			t.Fatal(err)
		}
		l.Release()
		if r := p.Load().Report; (r.Limit == 2) != atOwners || (r.Took > 0) != atOwners {
			t.Errorf("with QueueAtOwners %v: report %+v", atOwners, r)
		}
	}
}

// Guards against a failed exchange between an instance and one of an earlier version
// that does not know the report.
func TestReportIsIgnoredByEarlierVersions(t *testing.T) {
	type earlierReply struct {
		Waiting bool
		Lost    string
	}
	var buf bytes.Buffer
	if err := gob.NewEncoder(&buf).Encode(reply{Lost: "late", Answering: true, Load: &balance.Report{Limit: 2}}); err != nil {
		t.Fatal(err)
	}
	var got earlierReply
	if err := gob.NewDecoder(&buf).Decode(&got); err != nil || got.Lost != "late" {
		t.Errorf("decoded %+v, %v", got, err)
	}
	if err := gob.NewEncoder(&buf).Encode(earlierReply{Lost: "late"}); err != nil {
		t.Fatal(err)
	}
	var current reply
	if err := gob.NewDecoder(&buf).Decode(&current); err != nil || current.Lost != "late" || current.Load != nil {
		t.Errorf("decoded %+v, %v", current, err)
	}
}

// Guards against a write that counts as sent although the connection to the owner was
// already closed, so that its outcome counts as unknown.
func TestUnsentRequestIsReported(t *testing.T) {
	for _, report := range []bool{false, true} {
		o := newOwner(t, 2)
		c, err := Dial(t.Context(), o.address, "db-1", DialOptions{ReportUnsent: report})
		if err != nil {
			t.Fatal(err)
		}
		if err := c.(*ownerConn).conn.(*net.TCPConn).CloseWrite(); err != nil {
			t.Fatal(err)
		}
		_, err = c.Do(testDeadline(), []statement.Command{{Op: statement.OpStatement, Statement: readStatement("one")}})
		if err == nil || dbpool.IsNotSent(err) != report {
			t.Errorf("with reports %v: error %v", report, err)
		}
	}
}
