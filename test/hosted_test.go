package integration

import (
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"geraniumbeam/internal/explain"
	"geraniumbeam/internal/standin/hosted"
)

// violations returns the guarantees that the history violates.
func (h *hostedCluster) violations(hist *history) []string {
	var runs [][]hosted.Run
	var logs [][]hosted.Commit
	for _, g := range h.groups {
		runs = append(runs, g.Runs())
		logs = append(logs, g.Log())
	}
	return checkHistory(hist.ops, runs, logs)
}

func (h *hostedCluster) report(hist *history) {
	h.t.Helper()
	violations := h.violations(hist)
	for i, b := range violations {
		if i < 10 {
			h.t.Error(b)
		}
	}
	served, codes := 0, map[string]int{}
	for _, op := range hist.ops {
		if op.failure == "" {
			served++
		}
		codes[op.failure]++
	}
	h.t.Logf("%d statements, %d served, outcomes %v, %d violations", len(hist.ops), served, codes, len(violations))
	if served == 0 {
		h.t.Error("no statement was served")
	}
}

// waitAllServing waits until every instance serves writes of every service.
func (h *hostedCluster) waitAllServing() {
	h.t.Helper()
	for i := range h.callerAddresses {
		h.waitServing(i)
	}
}

// Guards against guarantees that are violated without any fault, by sessions,
// transactions, reads of each route and variables through several instances.
func TestHostedPathOnACalmDay(t *testing.T) {
	h := startHosted(t, 3, 2)
	hist := &history{}
	stop := runCallers(h, hist, 12, 1)
	time.Sleep(2 * time.Second)
	stop()
	h.report(hist)
	for _, op := range hist.ops {
		if op.failure != "" && op.failure != rolledBack {
			t.Errorf("statement %s failed with %s although there was no fault", op.id, op.failure)
			break
		}
	}
	for i := range h.instances {
		h.checkMetrics(i)
	}
}

// metrics returns the metrics of an instance.
func (h *hostedCluster) metrics(i int) string {
	h.t.Helper()
	resp, err := http.Get("http://" + h.innerAddresses[i] + "/metrics")
	if err != nil {
		h.t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		h.t.Fatalf("read the metrics of instance %d: status %d, %v", i, resp.StatusCode, err)
	}
	return string(body)
}

// checkMetrics checks that an instance that has served requests publishes the
// documented metrics.
func (h *hostedCluster) checkMetrics(i int) {
	h.t.Helper()
	body := h.metrics(i)
	for _, want := range []string{
		`geraniumbeam_requests_total\{route="[^"]+",kind="write",code="ok"\} [1-9]`,
		`geraniumbeam_request_microseconds\{route="[^"]+",percentile="50"\} [1-9]`,
		`geraniumbeam_database_microseconds\{service="svc0",phase="queue",percentile="99"\} [1-9]`,
		`geraniumbeam_database_microseconds\{service="svc0",phase="connect",percentile="99"\} [1-9]`,
		`geraniumbeam_database_microseconds\{service="svc0",phase="exchange",percentile="99"\} [1-9]`,
		`geraniumbeam_connections_total\{service="svc0",database="[^"]+",outcome="opened"\} [1-9]`,
		`geraniumbeam_exchanges_total\{service="svc0",database="[^"]+",outcome="answered"\} [1-9]`,
		`geraniumbeam_store_calls_total\{what="read"\} [1-9]`,
		`geraniumbeam_record_age_microseconds\{service="svc0"\} [0-9]{1,7}\n`,
		`geraniumbeam_primary_usable\{service="svc0"\} 1`,
		`geraniumbeam_configuration_version [1-9]`,
		`geraniumbeam_instances 3`,
		`geraniumbeam_isolated 0`,
		`geraniumbeam_ready 1`,
	} {
		if !regexp.MustCompile(want).MatchString(body) {
			h.t.Errorf("instance %d: no line matches %s", i, want)
		}
	}
	if h.t.Failed() {
		h.t.Logf("metrics of instance %d:\n%s", i, body)
	}
}

// Guards against guarantees that are violated, or requests that are not served, where
// the databases accept fewer connections than there are instances, so that most
// statements go through owners: without faults, and while owners are restarted.
func TestHostedPathWithScarceConnections(t *testing.T) {
	h := startHostedWithLimit(t, 7, 1, 6)
	time.Sleep(2 * time.Second) // time for the instances to discover each other
	hist := &history{}
	stop := runCallers(h, hist, 12, 3)
	time.Sleep(2 * time.Second)
	ranWithoutFaults := len(h.groups[0].Runs())
	h.checkOwnersUsed()
	for _, p := range h.instances[:4] { // two owners of each database are among them
		p.signal(t, syscall.SIGKILL)
		<-p.exited
		time.Sleep(400 * time.Millisecond)
		p.start(t)
	}
	h.waitAllServing()
	stop()
	h.report(hist)
	if ranWithoutFaults < 200 {
		t.Errorf("%d statements ran in 2 s without faults, want at least 200", ranWithoutFaults)
	}
	h.checkFailuresExplained(hist)
}

// checkOwnersUsed checks that some instance sends statements through an owner.
func (h *hostedCluster) checkOwnersUsed() {
	h.t.Helper()
	for i := range h.instances {
		if strings.Contains(h.metrics(i), `outcome="to_owner"`) {
			return
		}
	}
	h.t.Error("no instance sent a statement through an owner")
}

// Guards against a crashed primary that is not replaced, and against acknowledged
// writes that its replacement loses.
func TestHostedPrimaryIsReplaced(t *testing.T) {
	h := startHosted(t, 3, 1)
	hist := &history{}
	stop := runCallers(h, hist, 12, 2)
	time.Sleep(300 * time.Millisecond)
	former := h.groups[0].Primary()
	former.Crash()
	waitFor(t, 30*time.Second, "another database is the primary", func() bool { return h.groups[0].Primary() != former })
	h.waitAllServing()
	if err := former.Restart(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(300 * time.Millisecond)
	stop()
	h.report(hist)
	h.checkFailuresExplained(hist)
}

// checkFailuresExplained checks that the logs of all instances explain each failed
// request, found by its id alone.
func (h *hostedCluster) checkFailuresExplained(hist *history) {
	h.t.Helper()
	var logs strings.Builder
	for _, p := range h.instances {
		logs.WriteString(p.log.tail(maxLogBytes))
	}
	lines, _, err := explain.Read(strings.NewReader(logs.String()))
	if err != nil {
		h.t.Fatal(err)
	}
	explained := 0
	for _, op := range hist.ops {
		if op.failure == "" || op.failure == rolledBack || op.failure == "cut" {
			continue
		}
		var out strings.Builder
		if !explain.Request(&out, lines, op.id) || !strings.Contains(out.String(), "Cause: ") {
			h.t.Errorf("the logs do not explain request %s, which failed with %s:\n%s", op.id, op.failure, out.String())
		}
		explained++
	}
	if explained == 0 {
		h.t.Error("no request failed, so the test has checked nothing")
	}
}

// Guards against an instance without access to the store that continues to use a
// primary that the other instances have replaced.
func TestHostedInstanceWithoutStoreStops(t *testing.T) {
	h := startHosted(t, 3, 1)
	hist := &history{}
	stop := runCallers(h, hist, 12, 3)
	h.store.SetFault("inst-0", hosted.NoAnswer)
	time.Sleep(time.Second)
	former := h.groups[0].Primary()
	// The primary works, but the other instances and databases can't reach it.
	for _, instance := range []string{"inst-1", "inst-2"} {
		former.SetUnresponsiveTo(instance, true)
	}
	former.SetPartitioned(true)
	waitFor(t, 30*time.Second, "another database is the primary", func() bool { return h.groups[0].Primary() != former })
	time.Sleep(500 * time.Millisecond)
	h.store.SetFault("inst-0", hosted.Healthy)
	for _, instance := range []string{"inst-1", "inst-2"} {
		former.SetUnresponsiveTo(instance, false)
	}
	former.SetPartitioned(false)
	h.waitAllServing()
	stop()
	h.report(hist)
}

// Guards against requests that fail while the store is unavailable, and against a
// surge of calls when it recovers.
func TestHostedStoreOutageStopsNothing(t *testing.T) {
	h := startHosted(t, 3, 1)
	hist := &history{}
	for _, f := range []hosted.Fault{hosted.Busy, hosted.Reset, hosted.NoAnswer} {
		h.store.SetFault("", f)
		stop := runCallers(h, hist, 8, uint64(len(f)))
		time.Sleep(2500 * time.Millisecond) // longer than the validity of the instances' records
		from := hist.len()
		time.Sleep(500 * time.Millisecond)
		stop()
		for _, op := range hist.ops[from:] {
			if op.failure != "" && op.failure != rolledBack {
				t.Errorf("store fault %s: statement %s failed with %s", f, op.id, op.failure)
				break
			}
		}
		h.store.SetFault("", hosted.Healthy)
		before := h.store.Calls()
		time.Sleep(time.Second)
		if n := h.store.Calls() - before; n > 60 {
			t.Errorf("store fault %s: %d calls in the second after the recovery, want at most 60", f, n)
		}
	}
	h.report(hist)
}

// Guards against a shutdown that aborts work: after SIGTERM an open transaction can
// be committed, and the process then exits with 0.
func TestHostedGracefulStop(t *testing.T) {
	h := startHosted(t, 2, 1)
	c, err := dialHosted(h.callerAddresses[0], routePrimary+"svc0")
	if err != nil {
		t.Fatal(err)
	}
	defer c.close()
	mustQuery := func(id, text string) {
		t.Helper()
		if a, err := c.query(id, text); err != nil || a.code != "" {
			t.Fatalf("%s: got %+v, %v; want success", text, a, err)
		}
	}
	mustQuery("s1.1", "BEGIN")
	mustQuery("s1.1/0", "WRITE k1 v")
	h.instances[0].signal(t, syscall.SIGHUP) // must not end the process
	h.instances[0].signal(t, syscall.SIGTERM)
	time.Sleep(300 * time.Millisecond)
	mustQuery("s1.1/commit", "COMMIT")
	if code := h.instances[0].terminate(t, 20*time.Second); code != 0 {
		t.Errorf("exit code %d after SIGTERM, want 0; the log ends with:\n%s", code, h.instances[0].log.tail(8<<10))
	}
	log := h.instances[0].log.tail(maxLogBytes)
	if !strings.Contains(log, "The instance has stopped.") {
		t.Error("the log does not contain the end of the shutdown")
	}
}

// Guards against malformed input, from callers or in the store, that ends a process or
// affects another session.
func TestHostedBadInput(t *testing.T) {
	h := startHosted(t, 1, 1)
	good, err := dialHosted(h.callerAddresses[0], routePrimary+"svc0")
	if err != nil {
		t.Fatal(err)
	}
	defer good.close()
	for _, bad := range []string{
		"START\r\n", "HELLO\r\n", "START nowhere x\r\n", "START confirmsvc0 x\r\nQUERY\r\n", "START confirmsvc0 x\r\nREAD k\r\n",
		"START confirmsvc0 x\r\nQUERY - READ k\r\n", "START confirmsvc0 x\nQUERY a READ k\n", "START confirmsvc0 x\r\nQUERY a RE",
		"START confirmsvc0 x\r\nQUERY a " + strings.Repeat("y", 1<<21) + "\r\n", "\r\n\r\n", "\x00\x01\x02",
	} {
		c, err := sendRaw(h.callerAddresses[0], bad)
		if err != nil {
			t.Fatal(err)
		}
		c.close()
	}
	h.store.Put("servers", "broken-1", "text instead of a table")
	h.store.Put("servers", "broken-2", map[string]any{"service": 7})
	h.store.Put("config", "main", map[string]any{"version": 8, "routes": "none"})
	time.Sleep(time.Second)
	for i, c := range []struct{ text, want string }{
		{"READ k", ""},
		{"MERGE k", "MALFORMED"},
		{"WAITFOR 1.1 READ k", "MALFORMED"},
		{"STATUS", "MALFORMED"},
		{"COMMIT", "MALFORMED"},
		{"EXECUTE none k", "NOTFOUND"},
		{"READ k", ""},
	} {
		a, err := good.query(fmt.Sprintf("s1.%d", i), c.text)
		if err != nil || a.code != c.want || a.state != "I" {
			t.Errorf("%s: got %+v, %v; want code %q in state I", c.text, a, err, c.want)
		}
	}
}

// sendRaw connects and sends bytes, and does not read an answer.
func sendRaw(address, data string) (*hostedConn, error) {
	raw, err := dialWithoutStart(address)
	if err != nil {
		return nil, err
	}
	_, _ = raw.conn.Write([]byte(data)) // the instance may close first
	return raw, nil
}
