package integration

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"geraniumbeam/internal/catalog"
	"geraniumbeam/internal/ctl"
	standin "geraniumbeam/internal/standin/platform"
)

// classFile returns the content of a file for geraniumbeamctl with one class of the
// example service.
func classFile(name, servedWithin string) string {
	return fmt.Sprintf("classes:\n  - name: %s\n    service: hut-ledger\n    rank: urgent\n    served_within: %s\n", name, servedWithin)
}

// Guards against a command that stores part of a file, reports success before a
// change is in force, omits an instance that does not answer, or exits with the
// wrong code.
func TestOperatorCommands(t *testing.T) {
	c := startCluster(t, options{})
	t.Run("usage", func(t *testing.T) { testUsage(t, c) })
	t.Run("bad files", func(t *testing.T) { testBadFiles(t, c) })
	t.Run("get", func(t *testing.T) { testGet(t, c) })
	t.Run("apply", func(t *testing.T) { testApply(t, c) })
	t.Run("expect", func(t *testing.T) { testExpect(t, c) })
	t.Run("explain-class", func(t *testing.T) { testExplainClass(t, c) })
	t.Run("lagging instance", func(t *testing.T) { testLaggingInstance(t, c) })
	t.Run("drain", func(t *testing.T) { testDrain(t, c) })
	t.Run("unreachable instance", func(t *testing.T) { testUnreachableInstance(t, c) })
	t.Run("platform down", func(t *testing.T) {
		c.platform.kill(t)
		c.ctl(t, "status").want(t, 3, "--instance")
		c.ctl(t, "get").want(t, 3)
		c.ctl(t, "--instance", c.innerAddress["gb-1"], "status").want(t, 0, "gb-1")
	})
}

func testUsage(t *testing.T, c *cluster) {
	c.ctl(t, "aply").want(t, 2, "aply")
	c.ctl(t, "apply").want(t, 2, "<file>")
	c.ctl(t, "apply", "/does/not/exist.yaml").want(t, 2, "exist")
	c.ctl(t, "timeline", "--limit", "many", "huts-1").want(t, 2, "many")
}

func testBadFiles(t *testing.T, c *cluster) {
	before := c.ctl(t, "get").want(t, 0)
	good := classFile("half-applied", "1s")
	for name, tc := range map[string]struct {
		content string
		texts   []string
	}{
		"value":    {good + "  - name: second\n    service: hut-ledger\n    rank: high\n    served_within: 1s\n", []string{"line 8", "rank", `"high"`, "urgent, normal, background"}},
		"unknown":  {good + "    weight: 7\n", []string{"line 6", "classes[0].weight", "served_within"}},
		"duration": {good + "  - name: second\n    service: hut-ledger\n    rank: urgent\n    served_within: 10\n", []string{"line 9", "served_within", `"10"`, "200ms"}},
		"service":  {good + "  - name: second\n    service: hut-leger\n    rank: urgent\n    served_within: 1s\n", []string{"line 7", "service", `"hut-leger"`, "hut-ledger"}},
		"twice":    {good + strings.TrimPrefix(good, "classes:\n"), []string{"half-applied", "twice"}},
		"range":    {good + "    objective: 1.5\n", []string{"line 6", "objective", `"1.5"`, "less than 1"}},
		"missing":  {"classes:\n  - name: second\n    service: hut-ledger\n    rank: urgent\n", []string{"served_within", "more than 0"}},
		"empty":    {"", []string{"empty"}},
		"damaged":  {"classes: [", nil},
	} {
		t.Run(name, func(t *testing.T) {
			path := c.file(t, "bad-"+name+".yaml", tc.content)
			for _, command := range []string{"check", "diff", "apply"} {
				if name == "service" && command == "check" {
					// check does not ask the platform, which alone knows the other services.
					c.ctl(t, command, path).want(t, 0, "apply checks that they exist: services hut-ledger, hut-leger.")
					continue
				}
				c.ctl(t, command, path).want(t, 2, append([]string{path}, tc.texts...)...)
			}
		})
	}
	if after := c.ctl(t, "get").want(t, 0); after.out != before.out {
		t.Error("a file that was refused changed the configuration")
	}
}

func testGet(t *testing.T, c *cluster) {
	r := c.ctl(t, "get").want(t, 0, "confirm-hut").lacks(t, "{}", `""`, "null", " 0s", "h0m", "max_answer", "repeatable: false")
	path := c.file(t, "got.yaml", r.out)
	c.ctl(t, "check", path).want(t, 0, "1 services and 5 classes are valid.")
	if d := c.ctl(t, "diff", path).want(t, 0); d.out != "Nothing would change.\n" {
		t.Errorf("diff of the output of get: %q, want no difference", d.out)
	}
	c.ctl(t, "apply", path).want(t, 0, "is unchanged").lacks(t, "is stored")
}

func testApply(t *testing.T, c *cluster) {
	path := c.file(t, "confirm.yaml", classFile("confirm-hut", "400ms"))
	c.ctl(t, "diff", path).want(t, 0, "class hut-ledger.confirm-hut:", "- served_within: 300ms", "+ served_within: 400ms", "- objective: 0.999")
	c.ctl(t, "apply", path, "--wait").want(t, 0, "is stored as version", "is in force on 7 instances")
	for _, name := range c.instanceNames {
		// --wait must not return before the version is in force.
		s, err := c.status(name)
		if err != nil {
			t.Fatal(err)
		}
		if s.GetCatalogVersion() == 0 {
			t.Errorf("%s reports no configuration after apply --wait", name)
		}
	}
	c.ctl(t, "apply", path, "--wait").want(t, 0, "is unchanged", "is in force on 7 instances")
}

func testExpect(t *testing.T, c *cluster) {
	first := c.file(t, "book.yaml", classFile("book-hut", "700ms"))
	c.ctl(t, "apply", first).want(t, 0)
	// The file changes one class that is unchanged and one that is newer than the
	// expected version. Neither may be stored.
	both := c.file(t, "both.yaml", classFile("adjust-fee", "2s")+strings.TrimPrefix(classFile("book-hut", "900ms"), "classes:\n"))
	before := c.ctl(t, "get").want(t, 0)
	c.ctl(t, "apply", both, "--expect", "5").want(t, 1, "class hut-ledger.book-hut:", "- served_within: 700ms", "+ served_within: 900ms", "expected at most 5")
	if after := c.ctl(t, "get").want(t, 0); after.out != before.out {
		t.Error("part of a file was stored although the command reported a conflict")
	}
}

func testExplainClass(t *testing.T, c *cluster) {
	c.ctl(t, "explain-class", "browse-huts").want(t, 0, "hut-ledger", "5s")
	c.ctl(t, "explain-class", "no-such-class").want(t, 1, "no-such-class", "browse-huts")
}

func testLaggingInstance(t *testing.T, c *cluster) {
	c.links.cutLinks(t, func(l link) bool { return l.from == "gb-7" || l.to == "gb-7" })
	path := c.file(t, "lag.yaml", classFile("confirm-hut", "350ms"))
	c.ctl(t, "apply", path, "--wait", "--timeout", "2s").want(t, 3, "is stored as version", "gb-7").lacks(t, "gb-1 (", "gb-6 (")
	c.links.healAll(t)
	// The same command succeeds once the instance is reachable.
	c.ctl(t, "apply", path, "--wait", "--timeout", "15s").want(t, 0, "is unchanged", "is in force on 7 instances")
}

func testDrain(t *testing.T, c *cluster) {
	c.ctl(t, "drain", c.innerAddress["gb-6"]).want(t, 0, "draining")
	waitFor(t, 15*time.Second, "the drained instance exits", func() bool { return !c.instances["gb-6"].running() })
	if code := c.instances["gb-6"].exitCode(); code != 0 {
		t.Errorf("gb-6: exit code %d after a drain, want 0", code)
	}
	c.ctl(t, "drain", c.innerAddress["gb-6"]).want(t, 3, c.innerAddress["gb-6"])
}

func testUnreachableInstance(t *testing.T, c *cluster) {
	c.instances["gb-5"].kill(t)
	c.ctl(t, "--instance", c.innerAddress["gb-1"], "--instance", c.innerAddress["gb-5"], "status").
		want(t, 3, "gb-1", "No answer from "+c.innerAddress["gb-5"], "Group huts-1: term 1, primary huts-1-a.")
	r := c.ctl(t, "status")
	if strings.Contains(r.out, "No answer from gb-5") {
		r.want(t, 3, "gb-1", "gb-2", "gb-3", "gb-4", "gb-7")
	}
}

// maxOperatorRounds bounds the rounds in which two operators apply at the same time.
const maxOperatorRounds = 20

// Guards against an operator's change that is overwritten by another operator's
// concurrent one: the second command must report the conflict and the difference.
func TestOperatorsRace(t *testing.T) {
	parallelCluster(t)
	c := startCluster(t, options{})
	// With this delay both commands read the object before either writes it.
	c.setFaults(t, standin.Faults{Latency: catalog.Duration(200 * time.Millisecond)})
	conflicts := 0
	for round := range maxOperatorRounds {
		if conflicts >= 3 {
			break
		}
		type result struct {
			code int
			out  string
		}
		results := make([]result, 2)
		var wg sync.WaitGroup
		for i := range results {
			file := filepath.Join(c.dir, fmt.Sprintf("operator-%d.yaml", i))
			c.writeYAML(t, filepath.Base(file), map[string]any{"classes": []catalog.Class{{
				Name: "default", Service: "hut-ledger", Rank: catalog.RankNormal,
				LatencyTarget: catalog.Duration(time.Second + time.Duration(2*round+i)*time.Millisecond),
			}}})
			wg.Go(func() {
				cmd := exec.Command(filepath.Join(binDir, "geraniumbeamctl"), "--platform", c.platformURL, "apply", file)
				out, err := cmd.CombinedOutput()
				results[i] = result{cmd.ProcessState.ExitCode(), string(out)}
				if cmd.ProcessState == nil {
					t.Errorf("geraniumbeamctl: %v", err)
				}
			})
		}
		wg.Wait()
		codes := [2]int{results[0].code, results[1].code}
		switch codes {
		case [2]int{ctl.ExitOK, ctl.ExitOK}:
			continue // the commands did not overlap
		case [2]int{ctl.ExitOK, ctl.ExitRefused}, [2]int{ctl.ExitRefused, ctl.ExitOK}:
			conflicts++
		default:
			t.Fatalf("exit codes %v:\n%s\n%s", codes, results[0].out, results[1].out)
		}
		refused := results[0]
		if codes[1] == ctl.ExitRefused {
			refused = results[1]
		}
		if !strings.Contains(refused.out, "GB6001") || !strings.Contains(refused.out, "- served_within: ") || !strings.Contains(refused.out, "+ served_within: ") {
			t.Errorf("the refused command does not report the conflict and the difference:\n%s", refused.out)
		}
	}
	t.Logf("%d conflicts", conflicts)
	if conflicts == 0 {
		t.Errorf("no conflict in %d rounds, so the test has checked nothing", maxOperatorRounds)
	}
}
