package route

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"geraniumbeam/internal/platform"
)

var kindNames = map[Kind]string{
	KindOther: "other", KindRead: "read", KindBegin: "begin", KindCommit: "commit", KindRollback: "rollback",
	KindProxyParameter: "proxy-parameter", KindSet: "set", KindDiscard: "discard", KindUnsupported: "unsupported",
}

// Guards against an SQL text that is routed to the wrong database, retried although
// it may write, or refused without need. Each line of the input is one text, in
// which \n is a line break.
func TestClassify(t *testing.T) {
	datadriven.RunTest(t, "testdata/classify", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		for _, line := range strings.Split(d.Input, "\n") {
			s := Classify(strings.ReplaceAll(line, `\n`, "\n"))
			var words []string
			for _, st := range s.Statements {
				w := kindNames[st.Kind]
				if st.ReadOnly {
					w += "+readonly"
				}
				words = append(words, w)
			}
			if s.MayCommit() {
				words = append(words, "[may commit]")
			}
			if d.Cmd == "directives" {
				words = []string{fmt.Sprintf("%+v", s.Directives)}
			}
			if s.Err != nil {
				words = []string{s.Err.Error()}
			}
			fmt.Fprintln(&out, strings.Join(words, " "))
		}
		return out.String()
	})
}

// Guards against a lexer that loops, panics or reads past the end of invalid text,
// and against comments or constants whose content is taken as SQL.
func FuzzClassify(f *testing.F) {
	for _, s := range []string{
		"select 1", "/* a /* b */", "'", `"`, "$a$ x", "$", "e'\\", "--", "select $1::text; commit", "/* geraniumbeam class= */",
	} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, sql string) {
		s := Classify(sql)
		for _, st := range s.Statements {
			if len(st.Tokens) == 0 || len(st.Tokens) > maxTokens {
				t.Fatalf("%q: tokens %q", sql, st.Tokens)
			}
		}
		quoted := strings.ReplaceAll(sql, "'", "''")
		if got := Classify("select '" + quoted + "'"); len(got.Statements) != 1 || !got.ReadOnly() {
			t.Fatalf("constant %q is taken as SQL", quoted)
		}
	})
}

// Guards against reads that are sent to another data centre without need or to a
// leaving replica, or that cannot fall back to the primary.
func TestOrder(t *testing.T) {
	datadriven.RunTest(t, "testdata/order", func(t *testing.T, d *datadriven.TestData) string {
		var primary string
		n := Criteria{DataCentre: "here", AllowReplica: d.HasArg("read")}
		if d.HasArg("primary") {
			d.ScanArgs(t, "primary", &primary)
		}
		if d.HasArg("spread") {
			d.ScanArgs(t, "spread", &n.Rotation)
		}
		waits := make(map[string]time.Duration)
		if d.HasArg("wait") { // milliseconds, as name:number
			for _, v := range d.CmdArgs {
				for _, pair := range v.Vals {
					name, ms, _ := strings.Cut(pair, ":")
					if n, err := strconv.Atoi(ms); err == nil {
						waits[name] = time.Duration(n) * time.Millisecond
					}
				}
			}
			n.EstimatedWait = func(database string) time.Duration { return waits[database] }
		}
		var dbs []platform.Database
		for _, line := range strings.Split(d.Input, "\n") {
			w := strings.Fields(line)
			dbs = append(dbs, platform.Database{Name: w[0], DataCentre: w[1], Leaving: len(w) > 2})
		}
		var out []string
		for _, target := range OrderTargets(n, primary, dbs) {
			name := target.Database.Name
			if target.Primary {
				name += "(primary)"
			}
			out = append(out, name)
		}
		return strings.Join(out, " ") + "\n"
	})
}

// Guards against partitions that move to another group when the order of the groups
// changes, and against an uneven distribution of partitions over groups.
func TestGroupOf(t *testing.T) {
	counts := make(map[string]int)
	for i := range 3000 {
		p := fmt.Sprintf("hut-%d", i)
		g := GroupOf(p, []string{"g1", "g2", "g3"})
		if other := GroupOf(p, []string{"g3", "g1", "g2"}); other != g {
			t.Fatalf("%s: %s or %s", p, g, other)
		}
		counts[g]++
	}
	for g, n := range counts {
		if n < 850 || n > 1150 {
			t.Errorf("group %s has %d of 3000 partitions", g, n)
		}
	}
	if GroupOf("", []string{"g1"}) != "g1" || GroupOf("x", nil) != "" {
		t.Error("wrong group for the empty partition or for a service without groups")
	}
}
