package dbpool

import (
	"errors"
	"testing"
	"time"

	"geraniumbeam/internal/organisation"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/statement"
	"geraniumbeam/internal/topology"
)

// useOnceAs performs one exchange of an organisation, which may be empty, and returns the
// name of the owner that it went through.
func (x *oversubscribedSet) useOnceAs(t *testing.T, organisation string) string {
	t.Helper()
	p, _ := x.set.Pool("db-1", organisation)
	r := newRequest()
	r.Organisation = organisation
	l, err := p.Acquire(t.Context(), r, nil)
	if err != nil {
		t.Fatal(err)
	}
	_, err = l.Run(Exchange{Deadline: time.Now().Add(time.Second)})
	if notSent := (*NotSentError)(nil); errors.As(err, &notSent) {
		l.ReleaseNotSent(notSent)
	} else {
		l.Release()
	}
	return p.Owner()
}

// Guards against requests that pass their deadline at an owner which has lost its last
// connection at the database's limit, while other owners have some; against an owner that
// is left for longer, and one that is left by requests without organisation.
func TestOwnerWithoutConnectionIsPassedOver(t *testing.T) {
	x := newOversubscribedSet(t)
	x.set.pools = map[string]*paths{} // the deployment has organisations from the start
	x.set.cfg.Topology.Apply(topology.Configuration{Version: 1, Organisations: []organisation.Organisation{{Name: "any"}}})
	clk := &testClock{now: time.Hour}
	x.set.cfg.Now = clk.read
	x.reconcile()
	busy := func(statement.Command) (statement.Answer, error) {
		return statement.Answer{}, &NotSentError{Cause: result.Errorf(result.ConnectionsBusy, "full")}
	}
	for _, d := range x.owners {
		d.answer = busy
	}
	first := x.useOnceAs(t, "acme")
	second := x.useOnceAs(t, "acme")
	if first == second {
		t.Fatalf("%s is used again although it had no connection", first)
	}
	if got := x.useOnceAs(t, "acme"); got != first {
		t.Errorf("while all owners are busy, %s is used, want %s", got, first)
	}
	if got := x.useOnceAs(t, ""); got != "o1" {
		t.Errorf("%s is used without organisation, want o1", got)
	}
	for _, d := range x.owners {
		d.answer = nil
	}
	clk.advance(2 * busyPeriod)
	if got := x.useOnceAs(t, "acme"); got != first {
		t.Errorf("%s is used later, want %s", got, first)
	}
}

// Guards against an owner that keeps its organisations to itself while it has no connection
// for them.
func TestOwnerWithoutConnectionUsesAnother(t *testing.T) {
	x := newOversubscribedSet(t)
	x.set.pools = map[string]*paths{}
	x.set.cfg.Topology.Apply(topology.Configuration{Version: 1, Organisations: []organisation.Organisation{{Name: "any"}}})
	x.self, x.set.cfg.Instance = true, "o1"
	x.reconcile()
	own := ""
	for name, owner := range x.ownersOf(t, 40) {
		if owner == "" {
			own = name
		}
	}
	setError(x.direct, result.Errorf(result.ConnectionsBusy, "full"))
	p, _ := x.set.Pool("db-1", own)
	if _, err := p.Acquire(t.Context(), requestOf(own), nil); !result.Is(err, result.ConnectionsBusy) {
		t.Fatalf("error %v", err)
	}
	if p, _ := x.set.Pool("db-1", own); p.Owner() != "o2" {
		t.Errorf("the owner of %q is %q, want o2", own, p.Owner())
	}
}
