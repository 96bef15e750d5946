package dbpool

import (
	"testing"
	"time"

	"geraniumbeam/internal/balance"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/statement"
	"geraniumbeam/internal/topology"
)

// reportingConn is a connection to an owner that reports the same load each time.
type reportingConn struct {
	*fakeConn
	report balance.Report
}

func (c *reportingConn) TakeReport() (balance.Report, bool) { return c.report, true }

// Guards against an instance that goes on sending reads to a database that has just
// refused one for a full queue, and against one that avoids it for other errors.
func TestRefusalForAFullQueueIsLearned(t *testing.T) {
	for code, want := range map[result.Code]bool{result.Overloaded: true, result.StatementFailed: false, result.BehindFloor: false} {
		db := refusing(result.Errorf(code, "refused"), runsStatement)
		p, clk := newPool(db, ampleSizing)
		l := acquire(t, p)
		if _, err := l.Run(Exchange{Statement: statement.Statement{Kind: statement.Read}, Deadline: time.Now().Add(time.Second)}); err != nil {
			t.Fatal(err)
		}
		l.Release()
		if got := p.Load().RefusedFor; (got > 0) != want {
			t.Errorf("%v: avoided for %v", code, got)
		}
		clk.advance(time.Second)
		if got := p.Load().RefusedFor; got != 0 {
			t.Errorf("%v: avoided for %v after a second", code, got)
		}
	}
}

// Guards against an owner's report that is not used, that seems new for ever, or whose
// refusals the other instances have to see themselves.
func TestReportOfTheOwnerIsKeptWithItsAge(t *testing.T) {
	report := balance.Report{Queued: 3, InUse: 5, Limit: 5, Busy: 1.2, Mean: 20 * time.Millisecond, RefusedFor: 30 * time.Millisecond, Took: time.Millisecond}
	p, clk := newPool(&fakeDatabase{}, ownerSizing)
	p.owner = "o1"
	trips := 0
	p.onRoundTrip = func(time.Duration) { trips++ }
	if got := p.Load().Report; got.Limit != 0 {
		t.Errorf("report %+v before the first exchange", got)
	}
	p.learn(&reportingConn{report: report}, nil, 5*time.Millisecond, clk.read(), 0)
	clk.advance(10 * time.Millisecond)
	l := p.Load()
	if l.Report != report || l.ReportAge != 10*time.Millisecond || l.RefusedFor != 20*time.Millisecond || trips != 1 {
		t.Errorf("load %+v, %d round trips", l, trips)
	}
}

// Guards against an owner that reports nothing, because it has connections of its own.
func TestDirectPoolReportsItsOwnLoad(t *testing.T) {
	p, _ := newPool(&fakeDatabase{}, ampleSizing)
	acquire(t, p)
	if r := p.Load().Report; r.Limit != ampleSizing.MaxOpen || r.InUse != 1 {
		t.Errorf("report %+v", r)
	}
	perOrganisation, _ := newPool(&fakeDatabase{}, Sizing{MaxOpen: 8, Concurrency: 3, IdleTimeout: idleTimeoutDefault})
	if r := perOrganisation.Load().Report; r.Limit != 3 {
		t.Errorf("an owner with 8 connections that runs 3 requests at a time reports %+v", r)
	}
	if p.DataCentre() != "" || New(Config{Database: topology.Database{}, DataCentre: "a", Now: p.now}).DataCentre() != "a" {
		t.Error("wrong data centre")
	}
}
