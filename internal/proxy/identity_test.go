package proxy

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"geraniumbeam/internal/organisation"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/sockets"
	"geraniumbeam/internal/statement"
	"geraniumbeam/internal/topology"
)

const (
	acmeKey     = "key-of-acme"
	boltKey     = "key-of-bolt"
	publicRoute = "lobby"
)

func org(name string, keys ...string) organisation.Organisation {
	o := organisation.Organisation{Name: name}
	for _, k := range keys {
		o.Keys = append(o.Keys, organisation.DigestOf(k))
	}
	return o
}

// organise puts a configuration with the organisations and a public route in force.
func (h *harness) organise(all ...organisation.Organisation) {
	c := h.topology.Snapshot().Configuration
	c.Version++
	c.Organisations = append([]organisation.Organisation{}, all...)
	routes := map[string]topology.Route{publicRoute: {Database: publicRoute, Service: testService, Timeout: 500 * time.Millisecond, Public: true}}
	for name, r := range c.Routes {
		routes[name] = r
	}
	c.Routes = routes
	h.topology.Apply(c)
}

// follow runs the server's background task until the test ends.
func (h *harness) follow() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = h.server.Run(ctx) }()
	h.t.Cleanup(func() { cancel(); <-done })
}

// sessionOf returns a session without a connection whose caller sent a key.
func (h *harness) sessionOf(database, key string) *session {
	s := h.session(database)
	s.caller.key = organisation.DigestOf(key)
	return s
}

// startSession opens a session for a caller with a key and returns the caller.
func (h *harness) startSession(database, key string) *scriptedCaller {
	c := newCaller(database)
	c.key = key
	h.connect(c)
	return c
}

func (c *scriptedCaller) ask(k statement.Kind) statement.Answer {
	c.statements <- st(k)
	return <-c.answers
}

// Guards against callers with unknown keys, against a refusal that tells them which
// databases exist under another code than for everybody, and against public routes that
// need a key.
func TestStartupChecksRouteThenKey(t *testing.T) {
	for _, c := range []struct {
		name, database, key string
		want                result.Code // 0: the session is opened
	}{
		{"known key", testRoute, acmeKey, 0},
		{"unknown key", testRoute, "stranger", result.UnknownKey},
		{"no key", testRoute, "", result.UnknownKey},
		{"unknown database", "nowhere", "stranger", result.UnknownService},
		{"unknown database, known key", "nowhere", acmeKey, result.UnknownService},
		{"public route, unknown key", publicRoute, "stranger", 0},
		{"public route, known key", publicRoute, acmeKey, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.organise(org("acme", acmeKey))
			caller := h.startSession(c.database, c.key)
			if c.want == 0 {
				if a := caller.ask(statement.Set); a.Err != nil {
					t.Errorf("answer %+v", a.Err)
				}
				return
			}
			<-caller.closed
			if !result.Is(caller.refusal, c.want) {
				t.Errorf("refusal %v, want %v", caller.refusal, c.want)
			}
		})
	}
}

// Guards against keys that are asked for where there are no organisations.
func TestKeysAreNotCheckedWithoutOrganisations(t *testing.T) {
	h := newHarness(t)
	c := h.startSession(testRoute, "anything")
	if a := c.ask(statement.Read); a.Err != nil {
		t.Errorf("answer %+v", a.Err)
	}
	s := h.session(testRoute)
	s.handle(st(statement.Read))
	if r := s.admissionRequest(s.newRequest(st(statement.Read), topology.Route{})); r.Organisation != "" || r.Caller != "1" {
		t.Errorf("request %+v", r)
	}
}

// Guards against a definite answer about a database or a key from an instance that has no
// configuration, as all have after they were killed while the store is unavailable.
func TestInstanceWithoutConfigurationGivesNoDefiniteAnswer(t *testing.T) {
	h := newHarness(t)
	h.server.cfg.Topology = topology.New()
	c := h.startSession("nowhere", acmeKey)
	<-c.closed
	if !result.Is(c.refusal, result.NotConfigured) || c.refusal.Ran != result.RanNo || c.refusal.RetryAfter == 0 {
		t.Errorf("refusal %+v", c.refusal)
	}
}

// Guards against a revoked key that is accepted by a session that was open, and against an
// operation that runs under the organisation that a key belonged to before.
func TestOperationUsesTheCurrentOwnerOfTheKey(t *testing.T) {
	h := newHarness(t)
	h.organise(org("acme", acmeKey))
	s := h.sessionOf(testRoute, acmeKey)
	expect := func(step, name string, code result.Code, kinds ...statement.Kind) {
		t.Helper()
		for _, k := range kinds {
			a := s.handle(st(k))
			if code == 0 && a.Err != nil || code != 0 && !result.Is(a.Err, code) || a.State != statement.TxIdle || s.identity.name != name {
				t.Errorf("%s: %s is answered %+v in state %v under %q", step, k, a.Err, a.State, s.identity.name)
			}
		}
	}
	single := []statement.Kind{statement.Write, statement.Read}
	expect("known", "acme", 0, single...)
	h.organise(org("acme"), org("bolt", acmeKey))
	expect("moved", "bolt", 0, single...)
	if r := s.admissionRequest(s.newRequest(st(statement.Read), topology.Route{})); r.Organisation != "bolt" || r.Caller != "bolt" {
		t.Errorf("request %+v", r)
	}
	sent := h.runs("db-1", statement.Write)
	h.organise(org("acme"))
	expect("revoked", "", result.UnknownKey, append(single, statement.Begin, statement.Set, statement.Prepare, statement.Commit)...)
	if n := h.runs("db-1", statement.Write); n != sent || s.tx != nil {
		t.Errorf("%d writes were sent for a revoked key, transaction %+v", n-sent, s.tx)
	}
	h.organise(org("acme", boltKey, acmeKey))
	expect("known again", "acme", 0, single...)
	s.caller.database = publicRoute
	h.organise()
	expect("public", organisation.Anonymous, 0, single...)
}

// Guards against a transaction that is interrupted because the key was revoked after it
// began, or that changes its organisation.
func TestOpenTransactionOutlivesItsKey(t *testing.T) {
	h := newHarness(t)
	h.organise(org("acme", acmeKey))
	h.setHandler("db-1", inState(statement.TxOpen))
	s := h.sessionOf(testRoute, acmeKey)
	for i, k := range []statement.Kind{statement.Begin, statement.Write, statement.Set, statement.Write, statement.Commit} {
		if i == 1 {
			h.organise(org("bolt", boltKey))
		}
		if a := s.handle(st(k)); a.Err != nil || s.identity.name != "acme" {
			t.Errorf("%s: %+v under %q", k, a.Err, s.identity.name)
		}
	}
	if a := s.handle(st(statement.Begin)); !result.Is(a.Err, result.UnknownKey) || a.State != statement.TxIdle {
		t.Errorf("the next operation: %+v", a)
	}
}

// Guards against sessions that stay open after their key was revoked, against others that
// are closed with them, and against bytes without a request.
func TestIdleSessionsOfRevokedKeysAreClosed(t *testing.T) {
	h := newHarness(t)
	h.server.cfg.MaxSessions = 10
	h.organise(org("acme", acmeKey), org("bolt", boltKey))
	h.setHandler("db-1", inState(statement.TxOpen))
	h.follow()
	revoked, kept, public, busy := h.startSession(testRoute, acmeKey), h.startSession(testRoute, boltKey),
		h.startSession(publicRoute, acmeKey), h.startSession(testRoute, acmeKey)
	for _, c := range []*scriptedCaller{revoked, kept, public} {
		c.ask(statement.Set)
	}
	busy.ask(statement.Begin)
	busy.ask(statement.Write)
	h.organise(org("bolt", boltKey))
	<-revoked.closed
	if revoked.refusal != nil || len(revoked.answers) != 0 {
		t.Errorf("sent without a request: %+v, %d answers", revoked.refusal, len(revoked.answers))
	}
	for name, c := range map[string]*scriptedCaller{"kept": kept, "public": public} {
		if a := c.ask(statement.Set); a.Err != nil {
			t.Errorf("%s: %+v", name, a.Err)
		}
	}
	if a := busy.ask(statement.Commit); a.Err != nil {
		t.Errorf("the commit of an open transaction: %+v", a.Err)
	}
	<-busy.closed
	if busy.refusal != nil || len(busy.answers) != 0 {
		t.Errorf("sent without a request: %+v, %d answers", busy.refusal, len(busy.answers))
	}
}

// Guards against a transaction that is rolled back because a new configuration wakes its
// session, and against one that is not rolled back when its idle timeout has passed.
func TestWokenTransactionKeepsItsIdleTimeout(t *testing.T) {
	h := newHarness(t)
	h.organise(org("acme", acmeKey))
	h.setHandler("db-1", inState(statement.TxOpen))
	h.follow()
	c := h.startSession(testRoute, acmeKey)
	c.ask(statement.Begin)
	c.ask(statement.Write)
	began := time.Now()
	h.organise()
	h.eventually("the transaction is rolled back", func() bool {
		pool, _ := h.server.cfg.Pools.Pool("db-1", "acme")
		return pool.Load().InUse == 0
	})
	if took, idle := time.Since(began), h.topology.Snapshot().TxIdleTimeout; took < idle*9/10 {
		t.Errorf("rolled back after %v, want %v", took, idle)
	}
}

// Guards against a request that arrives while its session is closed and gets no answer.
func TestRequestThatCrossesTheRevocationIsAnswered(t *testing.T) {
	h := newHarness(t)
	h.organise(org("acme", acmeKey))
	h.follow()
	c := h.startSession(testRoute, acmeKey)
	c.ask(statement.Set)
	c.state.Store(int32(sockets.Readable))
	h.organise()
	time.Sleep(50 * time.Millisecond) // the session would be closed meanwhile
	c.statements <- st(statement.Read)
	c.state.Store(int32(sockets.Quiet))
	if a := <-c.answers; !result.Is(a.Err, result.UnknownKey) {
		t.Errorf("answer %+v", a.Err)
	}
	<-c.closed
}

// Guards against keys in log lines, and against refusals whose organisation can't be seen.
func TestLogNamesOrganisationsAndNoKeys(t *testing.T) {
	h := newHarness(t)
	var out bytes.Buffer
	h.server.cfg.Log = zerolog.New(&out)
	h.organise(org("acme", acmeKey))
	s := h.sessionOf(testRoute, acmeKey)
	s.handle(st(statement.Execute))
	h.setHandler("db-1", func(statement.Command) (statement.Answer, error) {
		return statement.Answer{Err: result.Errorf(result.StatementFailed, "failed")}, nil
	})
	s.handle(st(statement.Write))
	h.organise()
	s.handle(st(statement.Write))
	c := h.startSession(testRoute, boltKey)
	<-c.closed
	h.eventually("the session has ended", func() bool {
		h.server.mu.Lock()
		defer h.server.mu.Unlock()
		return len(h.server.sessions) == 0
	})
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 4 {
		t.Fatalf("log:\n%s", out.String())
	}
	for i, line := range lines {
		if strings.Contains(line, `"organisation":"acme"`) != (i < 2) {
			t.Errorf("line %d: %s", i, line)
		}
		for _, key := range []string{acmeKey, boltKey} {
			if strings.Contains(line, key) {
				t.Errorf("line %d has a key: %s", i, line)
			}
		}
	}
}
