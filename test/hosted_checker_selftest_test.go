package integration

import (
	"strings"
	"testing"
	"time"

	"geraniumbeam/internal/standin/hosted"
)

// Guards against checks that can't fail: each check must find the violation that it
// is meant for, and nothing in a history without a violation.
func TestHostedChecksCanFail(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	commit := func(id string) hosted.Commit { return hosted.Commit{Term: 1, ID: id} }
	log := []hosted.Commit{commit("s1.1")}
	write := hostedOp{session: 1, route: routePrimary, id: "s1.1", writes: []string{"s1.1"}, start: at(0), end: at(10)}
	ran := hosted.Run{ID: "s1.1", Committed: log, Database: "db"}
	for _, c := range []struct {
		name string
		ops  []hostedOp
		runs []hosted.Run
		want string // part of the violation's text; "" for no violation
	}{
		{"nothing wrong", []hostedOp{write}, []hosted.Run{ran}, ""},
		{"a correct statement that was called malformed", []hostedOp{{id: "s1.1", failure: "MALFORMED"}}, nil, "malformed"},
		{"a write twice", []hostedOp{write}, []hosted.Run{ran, ran}, "twice"},
		{"a refused write that was kept", []hostedOp{{id: "s1.1", writes: []string{"s1.1"}, failure: "THROTTLED"}}, []hosted.Run{ran}, "refused"},
		{"a write in doubt that was kept", []hostedOp{{id: "s1.1", writes: []string{"s1.1"}, failure: "INDOUBT"}}, []hosted.Run{ran}, ""},
		{
			"an acknowledgement of a replaced primary",
			[]hostedOp{write},
			[]hosted.Run{{ID: "s1.1", Committed: log, Superseded: true}},
			"taken over",
		},
		{
			"a stale read of the primary",
			[]hostedOp{write, {session: 2, route: routePrimary, id: "s2.1", start: at(20), end: at(30)}},
			[]hosted.Run{ran, {ID: "s2.1"}},
			"lacks",
		},
		{
			"a read that began before the acknowledgement",
			[]hostedOp{write, {session: 2, route: routePrimary, id: "s2.1", start: at(5), end: at(30)}},
			[]hosted.Run{ran, {ID: "s2.1"}},
			"",
		},
		{
			"a session that misses its own write",
			[]hostedOp{write, {session: 1, route: routeSession, id: "s1.2", start: at(20), end: at(30)}},
			[]hosted.Run{ran, {ID: "s1.2"}},
			"lacks",
		},
		{
			"a bounded read within its age",
			[]hostedOp{write, {session: 2, route: routeBounded, id: "s2.1", start: at(1000), end: at(1010)}},
			[]hosted.Run{ran, {ID: "s2.1"}},
			"",
		},
		{
			"a bounded read beyond its age",
			[]hostedOp{write, {session: 2, route: routeBounded, id: "s2.1", start: at(2000), end: at(2010)}},
			[]hosted.Run{ran, {ID: "s2.1"}},
			"lacks",
		},
		{"a statement outside its transaction", nil, []hosted.Run{{ID: "s1.1/0"}}, "ran in transaction"},
		{"a statement in another's transaction", nil, []hosted.Run{{ID: "s1.1", BeginID: "s2.9"}}, "inside transaction"},
		{"another session's variable", nil, []hosted.Run{{ID: "s1.1", Variables: map[string]string{"owner": "s2"}}}, "variable"},
	} {
		found := strings.Join(checkHistory(c.ops, [][]hosted.Run{c.runs}, [][]hosted.Commit{log}), "\n")
		if (c.want == "") != (found == "") || !strings.Contains(found, c.want) {
			t.Errorf("%s: got violations %q, want a text with %q", c.name, found, c.want)
		}
	}
}
