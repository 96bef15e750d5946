package integration

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"geraniumbeam/internal/standin/hosted"
)

// hostedOp is one statement or commit of a caller, as the caller saw it.
type hostedOp struct {
	session int
	service int
	route   string
	id      string // of the statement, or of the commit
	writes  []string
	began   time.Time // before the first byte of the statement or its transaction
	ended   time.Time
	problem string // code, "cut", or ""
	tx      bool
}

// history collects what callers saw. It is safe for concurrent use.
type history struct {
	mu  sync.Mutex
	ops []hostedOp
}

func (h *history) add(op hostedOp) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, op)
}

func (h *history) len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.ops)
}

// rolledBack marks a transaction that its caller rolled back or that failed, so
// that nothing of it may be kept.
const rolledBack = "rolled back"

// promises are the outcomes that say that nothing is kept.
var promises = map[string]bool{
	"THROTTLED": true, "ABORTED": true, "LAGGING": true, "READONLY": true, "WRONGNODE": true, "CONNLIMIT": true,
	rolledBack: true,
}

// check returns what the callers were promised and did not get. Each check is
// shown to be able to fail by TestHostedChecksCanFail.
func check(ops []hostedOp, runs [][]hosted.Run, logs [][]hosted.Commit) []string {
	var broken []string
	fail := func(format string, args ...any) { broken = append(broken, fmt.Sprintf(format, args...)) }
	for s := range runs {
		c := newChecker(s, ops, runs[s], logs[s])
		c.malformed(fail)
		c.twice(fail)
		c.refused(fail)
		c.replaced(fail)
		c.stale(fail)
		c.pinned(fail)
	}
	return broken
}

// checker judges one service.
type checker struct {
	ops    []hostedOp
	runs   []hosted.Run
	kept   map[string]int // writes in the final log, with their number
	places map[string]int // number of each commit when it was made
	byID   map[string][]hosted.Run
}

func newChecker(service int, ops []hostedOp, runs []hosted.Run, log []hosted.Commit) *checker {
	c := &checker{runs: runs, kept: make(map[string]int), places: make(map[string]int), byID: make(map[string][]hosted.Run)}
	for _, op := range ops {
		if op.service == service {
			c.ops = append(c.ops, op)
		}
	}
	for i, e := range log {
		c.kept[e.ID] = i + 1
	}
	for _, r := range runs {
		c.byID[r.ID] = append(c.byID[r.ID], r)
		for i, e := range r.Committed {
			c.places[e.ID] = len(r.Log) + i + 1
		}
	}
	return c
}

// malformed looks for correct statements that were called malformed.
func (c *checker) malformed(fail func(string, ...any)) {
	for _, op := range c.ops {
		if op.problem == "MALFORMED" {
			fail("statement %s was called malformed", op.id)
		}
	}
}

// twice looks for writes that took effect twice.
func (c *checker) twice(fail func(string, ...any)) {
	count := make(map[string]int)
	for _, r := range c.runs {
		for _, e := range r.Committed {
			if count[e.ID]++; count[e.ID] == 2 {
				fail("write %s took effect twice", e.ID)
			}
		}
	}
}

// refused looks for writes that were kept although the caller was told that
// nothing is kept.
func (c *checker) refused(fail func(string, ...any)) {
	for _, op := range c.ops {
		if !promises[op.problem] {
			continue
		}
		for _, w := range op.writes {
			if _, made := c.places[w]; made {
				fail("write %s was kept and refused with %s", w, op.problem)
			}
		}
	}
}

// replaced looks for commits of a replaced primary that were acknowledged.
func (c *checker) replaced(fail func(string, ...any)) {
	for _, op := range c.ops {
		if op.problem != "" || len(op.writes) == 0 {
			continue
		}
		for _, r := range c.byID[op.id] {
			if len(r.Committed) > 0 && r.Superseded {
				fail("write %s was acknowledged by %s after another database had taken over", op.id, r.Database)
			}
		}
	}
}

// stale looks for reads on a log that lacks a commit that they must see.
func (c *checker) stale(fail func(string, ...any)) {
	type ack struct {
		op     hostedOp
		number int
		id     string
	}
	var acks []ack
	for _, op := range c.ops {
		for _, w := range op.writes {
			// A commit that a promotion rolled back may be missing.
			if n, ok := c.kept[w]; ok && op.problem == "" {
				acks = append(acks, ack{op, n, w})
			}
		}
	}
	for _, op := range c.ops {
		if op.problem != "" || len(op.writes) > 0 {
			continue
		}
		for _, r := range c.byID[op.id] {
			for _, a := range acks {
				due := a.op.ended.Before(op.began)
				if !strings.HasPrefix(op.route, routePrimary) {
					due = a.op.ended.Before(op.began.Add(-boundedAge)) ||
						(due && strings.HasPrefix(op.route, routeSession) && a.op.session == op.session)
				}
				if due && (len(r.Log) < a.number || r.Log[a.number-1].ID != a.id) {
					fail("read %s on %s at %s lacks write %s", op.id, op.route, r.Database, a.id)
				}
			}
		}
	}
}

// pinned looks for statements outside their transaction, inside another's, or
// with the variables of another session. Ids start with their session; ids of a
// transaction's statements contain that of its Begin.
func (c *checker) pinned(fail func(string, ...any)) {
	for _, r := range c.runs {
		begin, _, inTx := strings.Cut(r.ID, "/")
		switch {
		case inTx && r.BeginID != begin:
			fail("statement %s ran in transaction %q", r.ID, r.BeginID)
		case !inTx && r.BeginID != "":
			fail("statement %s ran inside transaction %s", r.ID, r.BeginID)
		}
		session, _, _ := strings.Cut(r.ID, ".")
		for _, v := range r.Variables {
			if v != session {
				fail("statement %s ran with the variable of session %s", r.ID, v)
			}
		}
	}
}
