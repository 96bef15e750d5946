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
	start   time.Time // before the first byte of the statement or its transaction
	end     time.Time
	failure string // code, "cut", or ""
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

// noEffectCodes are the outcomes that say that nothing is kept.
var noEffectCodes = map[string]bool{
	"THROTTLED": true, "ABORTED": true, "LAGGING": true, "READONLY": true, "WRONGNODE": true, "CONNLIMIT": true,
	rolledBack: true,
}

// checkHistory returns what the callers were promised and did not get. Each checkHistory is
// shown to be able to fail by TestHostedChecksCanFail.
func checkHistory(ops []hostedOp, runs [][]hosted.Run, logs [][]hosted.Commit) []string {
	var violations []string
	fail := func(format string, args ...any) { violations = append(violations, fmt.Sprintf(format, args...)) }
	for s := range runs {
		c := newChecker(s, ops, runs[s], logs[s])
		c.checkMalformed(fail)
		c.checkDuplicates(fail)
		c.checkRefusedWrites(fail)
		c.checkReplacedPrimary(fail)
		c.checkStaleReads(fail)
		c.checkIsolation(fail)
	}
	return violations
}

// checker judges one service.
type checker struct {
	ops       []hostedOp
	runs      []hosted.Run
	finalLog  map[string]int // writes in the final log, with their number
	positions map[string]int // number of each commit when it was made
	byID      map[string][]hosted.Run
}

func newChecker(service int, ops []hostedOp, runs []hosted.Run, log []hosted.Commit) *checker {
	c := &checker{runs: runs, finalLog: make(map[string]int), positions: make(map[string]int), byID: make(map[string][]hosted.Run)}
	for _, op := range ops {
		if op.service == service {
			c.ops = append(c.ops, op)
		}
	}
	for i, e := range log {
		c.finalLog[e.ID] = i + 1
	}
	for _, r := range runs {
		c.byID[r.ID] = append(c.byID[r.ID], r)
		for i, e := range r.Committed {
			c.positions[e.ID] = len(r.Log) + i + 1
		}
	}
	return c
}

// checkMalformed looks for correct statements that were called checkMalformed.
func (c *checker) checkMalformed(fail func(string, ...any)) {
	for _, op := range c.ops {
		if op.failure == "MALFORMED" {
			fail("statement %s was called malformed", op.id)
		}
	}
}

// checkDuplicates looks for writes that took effect checkDuplicates.
func (c *checker) checkDuplicates(fail func(string, ...any)) {
	count := make(map[string]int)
	for _, r := range c.runs {
		for _, e := range r.Committed {
			if count[e.ID]++; count[e.ID] == 2 {
				fail("write %s took effect twice", e.ID)
			}
		}
	}
}

// checkRefusedWrites looks for writes that were kept although the caller was told that
// nothing is kept.
func (c *checker) checkRefusedWrites(fail func(string, ...any)) {
	for _, op := range c.ops {
		if !noEffectCodes[op.failure] {
			continue
		}
		for _, w := range op.writes {
			if _, made := c.positions[w]; made {
				fail("write %s was kept and refused with %s", w, op.failure)
			}
		}
	}
}

// checkReplacedPrimary looks for commits of a checkReplacedPrimary primary that were acknowledged.
func (c *checker) checkReplacedPrimary(fail func(string, ...any)) {
	for _, op := range c.ops {
		if op.failure != "" || len(op.writes) == 0 {
			continue
		}
		for _, r := range c.byID[op.id] {
			if len(r.Committed) > 0 && r.Superseded {
				fail("write %s was acknowledged by %s after another database had taken over", op.id, r.Database)
			}
		}
	}
}

// checkStaleReads looks for reads on a log that lacks a commit that they must see.
func (c *checker) checkStaleReads(fail func(string, ...any)) {
	type ack struct {
		op       hostedOp
		position int
		id       string
	}
	var acks []ack
	for _, op := range c.ops {
		for _, w := range op.writes {
			// A commit that a promotion rolled back may be missing.
			if n, ok := c.finalLog[w]; ok && op.failure == "" {
				acks = append(acks, ack{op, n, w})
			}
		}
	}
	for _, op := range c.ops {
		if op.failure != "" || len(op.writes) > 0 {
			continue
		}
		for _, r := range c.byID[op.id] {
			for _, a := range acks {
				mustSee := a.op.end.Before(op.start)
				if !strings.HasPrefix(op.route, routePrimary) {
					mustSee = a.op.end.Before(op.start.Add(-boundedAge)) ||
						(mustSee && strings.HasPrefix(op.route, routeSession) && a.op.session == op.session)
				}
				if mustSee && (len(r.Log) < a.position || r.Log[a.position-1].ID != a.id) {
					fail("read %s on %s at %s lacks write %s", op.id, op.route, r.Database, a.id)
				}
			}
		}
	}
}

// checkIsolation looks for statements outside their transaction, inside another's, or
// with the variables of another session. Ids start with their session; ids of a
// transaction's statements contain that of its Begin.
func (c *checker) checkIsolation(fail func(string, ...any)) {
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
