package dbpool

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"testing"
	"time"

	"geraniumbeam/internal/clock"
	"geraniumbeam/internal/organisation"
	"geraniumbeam/internal/ownership"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/statement"
	"geraniumbeam/internal/topology"
)

// oversubscribedSet is a set with one database whose limit is below the number of
// instances, and two owners.
type oversubscribedSet struct {
	set    *Set
	owners map[string]*fakeDatabase // by address
	direct *fakeDatabase
	self   bool
	limit  int
}

func newOversubscribedSet(t *testing.T) *oversubscribedSet {
	t.Helper()
	x := &oversubscribedSet{owners: map[string]*fakeDatabase{"o1:1": {}, "o2:1": {}}, direct: &fakeDatabase{}, limit: 46}
	x.set = NewSet(SetConfig{
		Dial: x.direct.dial, Clock: clock.Real{}, Now: clock.SinceBoot, Instances: func() int { return 64 }, Topology: topology.New(),
		Owners: func(topology.Database, int) ([]ownership.Instance, bool) {
			return []ownership.Instance{{Name: "o1", Address: "o1:1"}, {Name: "o2", Address: "o2:1"}}, x.self
		},
		DialOwner: func(ctx context.Context, address, id string, _ bool) (Conn, error) {
			return x.owners[address].dial(ctx, address, "", id, "")
		},
	})
	x.reconcile()
	return x
}

func (x *oversubscribedSet) reconcile() []*Pool {
	x.set.mu.Lock()
	defer x.set.mu.Unlock()
	return x.set.reconcile(topology.Database{ID: "db-1", Service: "ledger", Address: "db:1"}, x.limit, 64)
}

// use performs one exchange and returns the name of the owner that it went through.
func (x *oversubscribedSet) use(t *testing.T) (string, error) {
	t.Helper()
	p, ok := x.set.Pool("db-1", "")
	if !ok {
		t.Fatal("no pool")
	}
	l, err := p.Acquire(t.Context(), newRequest(), nil)
	if err != nil {
		return p.Owner(), err
	}
	if _, err := l.Run(Exchange{Deadline: time.Now().Add(time.Second)}); err != nil {
		l.Discard()
		return p.Owner(), err
	}
	l.Release()
	return p.Owner(), nil
}

func setError(d *fakeDatabase, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dialErr = err
	d.answer = nil
	if err != nil {
		d.answer = func(statement.Command) (statement.Answer, error) { return statement.Answer{}, err }
	}
}

// Guards against requests that are still sent to a failed owner while another one is
// usable, and against an owner that is not used again after it has recovered.
func TestFailoverToAnotherOwnerUntilTheFirstRecovers(t *testing.T) {
	x := newOversubscribedSet(t)
	if owner, err := x.use(t); owner != "o1" || err != nil {
		t.Fatalf("first request: through owner %q, %v, want o1", owner, err)
	}
	setError(x.owners["o1:1"], errBroken)
	if _, err := x.use(t); err == nil {
		t.Fatal("the owner did not fail")
	}
	for range 3 {
		if owner, err := x.use(t); owner != "o2" || err != nil {
			t.Fatalf("after the first owner failed: through owner %q, %v, want o2", owner, err)
		}
	}
	setError(x.owners["o2:1"], errBroken)
	if _, err := x.use(t); err == nil {
		t.Fatal("the second owner did not fail")
	}
	if owner, err := x.use(t); owner != "" || err != nil {
		t.Errorf("after all owners failed: through owner %q, %v, want a direct connection", owner, err)
	}
	setError(x.owners["o1:1"], nil)
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		for _, p := range x.reconcile() {
			p.Maintain(context.Background())
		}
		if owner, err := x.use(t); owner == "o1" && err == nil {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the recovered owner is not used again")
		}
	}
}

// Guards against a primary that is replaced because an owner of its connections
// failed, and against a primary whose failure is not detected.
func TestFailedOwnerDoesNotMeanFailedDatabase(t *testing.T) {
	x := newOversubscribedSet(t)
	setError(x.owners["o1:1"], errBroken)
	if _, err := x.use(t); err == nil {
		t.Fatal("the owner did not fail")
	}
	if !x.set.Reach("ledger", "db-1").Lost() {
		t.Fatal("the failed owner is not detected")
	}
	if _, err := x.set.Status(t.Context(), "ledger", "db-1", time.Second); err != nil {
		t.Fatal(err)
	}
	if x.set.Reach("ledger", "db-1").Lost() {
		t.Error("the database answered a status query and still counts as unresponsive")
	}
	for _, d := range []*fakeDatabase{x.owners["o2:1"], x.direct} {
		setError(d, errBroken)
	}
	for range 3 {
		if _, err := x.use(t); err == nil {
			t.Fatal("an exchange with the failed database succeeded")
		}
	}
	if _, err := x.set.Status(t.Context(), "ledger", "db-1", time.Second); err == nil {
		t.Fatal("a status query to the failed database succeeded")
	}
	if !x.set.Reach("ledger", "db-1").Lost() {
		t.Error("the failure of the database is not detected")
	}
}

// Guards against an instance that offers connections to others without being an
// owner, and against an owner that uses another owner's connections.
func TestOwnersDivideTheLimit(t *testing.T) {
	x := newOversubscribedSet(t)
	if _, ok := x.set.Owned("db-1"); ok {
		t.Error("an instance that is not an owner offers connections")
	}
	x.self = true
	x.reconcile()
	p, ok := x.set.Owned("db-1")
	if !ok {
		t.Fatal("an owner does not offer connections")
	}
	if maxOpen := p.Load().MaxOpen; maxOpen != maxOpenPerInstance {
		t.Errorf("MaxOpen is %d, want %d: half of 46 for two owners, at most %d each", maxOpen, maxOpenPerInstance, maxOpenPerInstance)
	}
	if owner, err := x.use(t); owner != "" || err != nil {
		t.Errorf("an owner used the owner %q, %v, want a direct connection", owner, err)
	}
}

// Guards against an owner that counts as failed because it refused a request for load.
func TestRefusalForLoadIsNotAFailure(t *testing.T) {
	x := newOversubscribedSet(t)
	busy := &NotSentError{Cause: result.Errorf(result.DeadlineBeforeRun, "late")}
	x.owners["o1:1"].answer = func(statement.Command) (statement.Answer, error) { return statement.Answer{}, busy }
	var notSent *NotSentError
	if _, err := x.use(t); !errors.As(err, &notSent) {
		t.Fatalf("error %v", err)
	}
	if owner, _ := x.use(t); owner != "o1" {
		t.Errorf("request after a refusal for load: through owner %q, want o1", owner)
	}
	p, _ := x.set.Pool("db-1", "")
	before := x.owners["o1:1"].dialed
	for range 5 {
		l := acquire(t, p)
		if _, err := l.Run(Exchange{Deadline: time.Now().Add(time.Second)}); !errors.As(err, &notSent) {
			t.Fatalf("error %v", err)
		}
		l.ReleaseNotSent(notSent)
	}
	if opened := x.owners["o1:1"].dialed - before; opened > 1 {
		t.Errorf("%d connections to the owner were opened for 5 refusals", opened)
	}
}

// Guards against an overload that answers itself with more load: hundreds of
// instances that reach no owner in time must not open connections of their own, of
// which each takes a slot of the database.
func TestUnreachableOwnersDoNotCauseDirectConnections(t *testing.T) {
	x := newOversubscribedSet(t)
	x.set.cfg.MayConnect = func(topology.Database, int) bool { return false }
	x.reconcile()
	for _, owner := range []string{"o1:1", "o2:1"} {
		setError(x.owners[owner], errBroken)
	}
	for range 5 {
		if _, err := x.use(t); err == nil {
			t.Fatal("a request succeeds without an owner")
		}
		if _, err := x.set.Status(t.Context(), "ledger", "db-1", 100*time.Millisecond); err == nil {
			t.Fatal("a status query succeeds without an owner")
		}
	}
	if n := x.direct.dialed; n != 0 {
		t.Errorf("%d direct connections were opened", n)
	}
	setError(x.owners["o2:1"], nil)
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		for _, p := range x.reconcile() {
			p.Maintain(context.Background())
		}
		if owner, err := x.use(t); owner == "o2" && err == nil {
			return
		}
		if time.Now().After(end) {
			t.Fatal("the recovered owner is not used")
		}
	}
}

// Guards against refusals by an instance that is cut off from a primary which other
// instances reach (six of nine fronts are cut off for seven seconds), and against the
// detour staying in use afterwards.
func TestDetourAroundACut(t *testing.T) {
	x := newOversubscribedSet(t)
	x.set.cfg.Owners, x.limit = nil, 128
	x.set.cfg.Detours = func(topology.Database) []ownership.Instance {
		return []ownership.Instance{{Name: "o1", Address: "o1:1"}, {Name: "o2", Address: "o2:1"}}
	}
	x.reconcile()
	if through, err := x.use(t); through != "" || err != nil {
		t.Fatalf("through %q, %v, want a direct connection", through, err)
	}
	setError(x.direct, errBroken)
	setError(x.owners["o1:1"], errBroken) // it does not reach the database either and refuses the handshake
	served := false
	for end := time.Now().Add(5 * time.Second); !served && time.Now().Before(end); time.Sleep(time.Millisecond) {
		x.reconcile()
		through, err := x.use(t)
		served = through == "o2" && err == nil
	}
	if !served {
		t.Fatal("requests are not sent through the instance that reaches the database")
	}
	if _, err := x.set.Status(t.Context(), "ledger", "db-1", time.Second); err != nil {
		t.Errorf("status through the detour: %v", err)
	}
	// The detour must not hide the cut: the primary may be cut off from its replicas.
	if reach := x.set.Reach("ledger", "db-1"); !reach.Lost() || !reach.Requests || !reach.DetourWorks(clock.SinceBoot()) || reach.Detour != "o2" {
		t.Errorf("%+v, want a primary that this instance has lost and that o2 reaches", reach)
	}
	if _, ok := x.set.Owned("db-1"); ok {
		t.Error("an instance that does not reach the database offers a detour")
	}
	setError(x.direct, nil)
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		for _, p := range x.reconcile() {
			p.Maintain(context.Background())
		}
		if through, err := x.use(t); through == "" && err == nil {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the direct connection is not used again")
		}
	}
	if _, ok := x.set.Owned("db-1"); !ok {
		t.Error("an instance that reaches the database offers no detour")
	}
}

// Guards against a process that ends with a panic at the end of its shutdown, because a
// renewal of the records still asks databases when the pools are closed.
func TestClosedSetRefusesControlCommands(t *testing.T) {
	x := newOversubscribedSet(t)
	x.set.close()
	for _, op := range []statement.Op{statement.OpStatus, statement.OpPause} {
		_, err := x.set.Control(t.Context(), "ledger", "db-1", statement.Command{Op: op}, time.Second)
		if !result.Is(err, result.DatabaseDown) {
			t.Errorf("%s: error %v, want a database that is down", op, err)
		}
	}
	if _, ok := x.set.Pool("db-1", ""); ok {
		t.Error("the closed pool is still given out")
	}
}

func (x *oversubscribedSet) ownersOf(t *testing.T, organisations int) map[string]string {
	t.Helper()
	owners := make(map[string]string)
	for i := range organisations {
		name := fmt.Sprint("organisation-", i)
		p, ok := x.set.Pool("db-1", name)
		if !ok {
			t.Fatal("no pool")
		}
		owners[name] = p.Owner()
	}
	return owners
}

// Guards against organisations whose requests are spread over all owners, of which each
// then needs a connection for each organisation; against the loss of the organisations of
// a failed owner; and against a move of those of the other owners.
func TestOrganisationsShareTheOwners(t *testing.T) {
	x := newOversubscribedSet(t)
	before := x.ownersOf(t, 40)
	share := map[string]int{}
	for _, owner := range before {
		share[owner]++
	}
	if share["o1"] < 8 || share["o2"] < 8 || share["o1"]+share["o2"] != 40 {
		t.Errorf("the owners have %v organisations, want both about 20", share)
	}
	if !maps.Equal(before, x.ownersOf(t, 40)) {
		t.Error("an organisation has changed its owner")
	}
	setError(x.owners["o1:1"], errBroken)
	if owner, err := x.use(t); owner != "o1" || err == nil {
		t.Fatalf("request through owner %q, %v, want a failure of o1", owner, err)
	}
	for name, owner := range x.ownersOf(t, 40) {
		if owner != "o2" {
			t.Errorf("%s has the owner %q, want the remaining one", name, owner)
		}
	}
}

// Guards against an owner that serves every organisation itself, so that each owner needs
// connections for all; against one that sends on a request which another instance has
// sent to it; and against a change in deployments without organisations.
func TestOwnerSendsOrganisationsOfOthersToThem(t *testing.T) {
	x := newOversubscribedSet(t)
	x.set.cfg.Instance, x.self = "o1", true
	x.set.cfg.Topology.Apply(topology.Configuration{Version: 1, Organisations: []organisation.Organisation{{Name: "any"}}})
	x.reconcile()
	other := newOversubscribedSet(t)
	theirs := other.ownersOf(t, 40)
	for name, owner := range x.ownersOf(t, 40) {
		want := theirs[name]
		if want == "o1" {
			want = "" // its own connections
		}
		if owner != want {
			t.Errorf("the owner sends %s to %q, other instances to %q", name, owner, theirs[name])
		}
	}
	if p, ok := x.set.Owned("db-1"); !ok || p.Owner() != "" {
		t.Error("requests that other instances send are not served by the owner's own connections")
	}
	if owner, err := x.use(t); owner != "" || err != nil {
		t.Errorf("a request without organisation goes through %q, %v", owner, err)
	}
	if p, _ := x.set.Pool("db-1", ""); p.sizing.MaxOpen != 46*4/5/2 || p.sizing.concurrency() != maxOpenPerInstance {
		t.Errorf("the owner's sizing is %+v", p.sizing)
	}
	setError(x.direct, errBroken) // this instance is cut off from the database
	_, _ = x.use(t)
	for name, owner := range x.ownersOf(t, 40) {
		if owner != "o2" {
			t.Errorf("an owner that does not reach the database sends %s to %q, want o2", name, owner)
		}
	}
	x.set.cfg.Topology.Apply(topology.Configuration{Version: 2})
	if pools := x.reconcile(); len(pools) != 1 || pools[0].sizing != SizingFor(46, 2, 46, false) {
		t.Errorf("without organisations the owner has %d pools, sizing %+v", len(pools), pools[0].sizing)
	}
}

// Guards against an organisation that needs more connections than one owner has, for
// example because its callers stay idle in transactions, and is refused while the other
// owners have some; and against further connections for organisations that one owner can
// serve, and in deployments without organisations.
func TestLargeOrganisationUsesFurtherOwners(t *testing.T) {
	x := newOversubscribedSet(t)
	x.set.pools = map[string]*paths{} // the deployment has organisations from the start
	x.set.cfg.Topology.Apply(topology.Configuration{Version: 1, Organisations: []organisation.Organisation{{Name: "any"}}})
	x.reconcile()
	use := func(organisation string, held time.Duration) {
		p, _ := x.set.Pool("db-1", organisation)
		r := newRequest()
		r.Organisation = organisation
		l, err := p.Acquire(t.Context(), r, nil)
		if err != nil {
			t.Fatal(err)
		}
		l.began -= held
		l.Release()
	}
	// With 64 instances, 3 s of use within half a minute are 6.4 connections in use.
	for range 3 {
		use("large", time.Second)
		use("usual", 20*time.Millisecond)
	}
	owners := func(organisation string) map[string]int {
		n := map[string]int{}
		for range 200 {
			p, _ := x.set.Pool("db-1", organisation)
			n[p.Owner()]++
		}
		return n
	}
	if got := owners("large"); got["o1"] < 50 || got["o2"] < 50 {
		t.Errorf("the large organisation uses %v, want both owners", got)
	}
	if got := owners("usual"); len(got) != 1 {
		t.Errorf("the usual organisation uses %v, want one owner", got)
	}
}
