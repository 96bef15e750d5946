package integration

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"geraniumbeam/internal/standin/hosted"
)

// hostedOp is a statement or commit and its outcome as the caller saw it.
type hostedOp struct {
	session int
	service int
	route   string
	id      string // of the statement or commit
	writes  []string
	start   time.Time // before the statement, or the BEGIN of its transaction, was sent
	end     time.Time
	failure string // result code, "cut" if the connection failed, "" if it succeeded
	tx      bool
}

// history collects the operations of all callers. It is safe for concurrent use.
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

// rolledBack marks a transaction that failed or was rolled back by its caller. None
// of its writes may take effect.
const rolledBack = "rolled back"

// noEffectCodes are the results that guarantee that no write took effect.
var noEffectCodes = map[string]bool{
	"THROTTLED": true, "ABORTED": true, "LAGGING": true, "READONLY": true, "WRONGNODE": true, "CONNLIMIT": true,
	rolledBack: true,
}

// checkHistory returns the violated guarantees. TestHostedChecksCanFail verifies that
// each check can fail.
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

// checker checks the history of one service.
type checker struct {
	ops       []hostedOp
	runs      []hosted.Run
	finalLog  map[string]int // writes in the final log, with their positions
	positions map[string]int // position of each write when it was committed
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

// checkMalformed finds valid statements that were refused as malformed.
func (c *checker) checkMalformed(fail func(string, ...any)) {
	for _, op := range c.ops {
		if op.failure == "MALFORMED" {
			fail("valid statement %s was refused as malformed", op.id)
		}
	}
}

// checkDuplicates finds writes that took effect twice.
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

// checkRefusedWrites finds writes that took effect although the caller was told that
// they did not.
func (c *checker) checkRefusedWrites(fail func(string, ...any)) {
	for _, op := range c.ops {
		if !noEffectCodes[op.failure] {
			continue
		}
		for _, w := range op.writes {
			if _, made := c.positions[w]; made {
				fail("write %s took effect although it was refused with %s", w, op.failure)
			}
		}
	}
}

// checkReplacedPrimary finds acknowledged commits of a primary that had been replaced.
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

// checkStaleReads finds reads from a log without a commit that the read must see.
func (c *checker) checkStaleReads(fail func(string, ...any)) {
	type ack struct {
		op       hostedOp
		position int
		id       string
	}
	var acks []ack
	for _, op := range c.ops {
		for _, w := range op.writes {
			// A commit that a promotion discarded is not in the final log.
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
					fail("read %s of route %s on %s lacks write %s", op.id, op.route, r.Database, a.id)
				}
			}
		}
	}
}

// checkIsolation finds statements that ran outside their transaction, inside another one
// or with the variables of another session. The id of a statement starts with its
// caller; within a transaction it starts with the id of the BEGIN.
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
