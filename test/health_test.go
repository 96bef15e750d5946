package integration

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"geraniumbeam/internal/pool"
	standin "geraniumbeam/internal/standin/platform"
)

// httpGet sends a request to an instance's metrics address. The status is 0 if there
// was no answer.
func (c *cluster) httpGet(t testing.TB, instance, path string) (status int, body string) {
	t.Helper()
	resp, err := http.Get("http://" + c.metricsAddress[instance] + path)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(b)
}

// Guards against a readiness check that passes without a configuration or during a
// drain, against metrics that alerts need and the instances do not publish, and
// against log lines without a failure.
func TestHealthAndMetrics(t *testing.T) {
	c := startCluster(t, options{})
	t.Run("metrics", func(t *testing.T) { testMetrics(t, c) })
	t.Run("no log without a failure", func(t *testing.T) { testNoLogWithoutFailure(t, c) })
	t.Run("draining", func(t *testing.T) { testReadyWhileDraining(t, c) })
	t.Run("no configuration", func(t *testing.T) { testReadyWithoutConfiguration(t, c) })
}

func testMetrics(t *testing.T, c *cluster) {
	conn := c.connect(t, "gb-1", "geraniumbeam.partition="+c.partitionKey(t, "huts-1"))
	if _, err := conn.Exec(t.Context(), "CREATE TABLE measured (id text PRIMARY KEY)"); err != nil {
		t.Fatal(err)
	}
	connections := 0
	for _, name := range c.instanceNames {
		var v instanceVars
		waitFor(t, 10*time.Second, name+" sends gossip", func() bool {
			v = c.vars(t, name)
			return v.Membership["sent"] > 0
		})
		if v.PlatformCalls["watch"] == 0 || v.Confsync["applied"] == 0 || v.Events["configuration"] == 0 {
			t.Errorf("%s publishes platform calls %v, confsync %v, events %v; want watch, applied and configuration above 0", name, v.PlatformCalls, v.Confsync, v.Events)
		}
		if n, ok := v.Failover["promoted"]; !ok || n != 0 {
			t.Errorf("%s publishes failover counters %v without a failure, want 0 promotions", name, v.Failover)
		}
		for database, d := range v.Pool {
			if d.Group == "" || !d.Reachable || d.Limit < 1 || d.MaxConnections < 1 {
				t.Errorf("%s publishes invalid pool metrics %+v of database %s", name, d, database)
			}
			if !d.Standby && database == "huts-1-a" {
				connections += d.Connections
			}
		}
	}
	if connections == 0 {
		t.Error("no instance reports a connection to huts-1-a")
	}
}

// instanceVars is the part of /debug/vars that alerts use.
type instanceVars struct {
	PlatformCalls map[string]int64 `json:"platform_calls"`
	Membership    map[string]int64
	Confsync      map[string]int64
	Failover      map[string]int64
	Events        map[string]int64
	Pool          map[string]pool.DatabaseVars
}

func (c *cluster) vars(t testing.TB, instance string) instanceVars {
	t.Helper()
	_, body := c.httpGet(t, instance, "/debug/vars")
	var v instanceVars
	if err := json.Unmarshal([]byte(body), &v); err != nil {
		t.Fatalf("%s: %v in %s", instance, err, body)
	}
	return v
}

// testNoLogWithoutFailure checks that an instance without failures logs nothing.
func testNoLogWithoutFailure(t *testing.T, c *cluster) {
	before := c.instances["gb-1"].log.tail(maxLogBytes)
	conn := c.connect(t, "gb-1")
	for range 100 {
		if _, err := conn.Exec(t.Context(), "SELECT 1", pgx.QueryExecModeSimpleProtocol); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(2 * time.Second)
	if more := strings.TrimPrefix(c.instances["gb-1"].log.tail(maxLogBytes), before); more != "" {
		t.Errorf("logged without a failure: %s", more)
	}
}

func testReadyWhileDraining(t *testing.T, c *cluster) {
	// The open transaction delays the end of the drain.
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	conn := c.connect(t, "gb-2")
	tx, err := conn.Begin(ctx)
	if err != nil {
		t.Fatal(err)
	}
	c.ctl(t, "drain", c.innerAddress["gb-2"]).want(t, 0)
	waitFor(t, 5*time.Second, "/readyz says that the instance is draining", func() bool {
		status, body := c.httpGet(t, "gb-2", "/readyz")
		return status == http.StatusServiceUnavailable && strings.Contains(body, "draining")
	})
	if status, _ := c.httpGet(t, "gb-2", "/healthz"); status != http.StatusOK {
		t.Errorf("/healthz answers %d while draining, want 200", status)
	}
	if err := tx.Commit(ctx); err != nil {
		t.Errorf("commit while draining: %v", err)
	}
	waitFor(t, 10*time.Second, "the drained instance exits", func() bool { return !c.instances["gb-2"].running() })
}

func testReadyWithoutConfiguration(t *testing.T, c *cluster) {
	// The restarted instance reaches neither the platform nor a peer.
	c.setFaults(t, standin.Faults{Outage: true})
	c.links.cutLinks(t, func(l link) bool { return l.from == "gb-2" || l.to == "gb-2" })
	c.instances["gb-2"].start(t)
	waitFor(t, 5*time.Second, "/readyz says that there is no configuration", func() bool {
		status, body := c.httpGet(t, "gb-2", "/readyz")
		return status == http.StatusServiceUnavailable && strings.Contains(body, "no configuration")
	})
	c.links.healAll(t)
	c.setFaults(t, standin.Faults{})
	waitFor(t, 20*time.Second, "the instance is ready", func() bool { return c.ready("gb-2") })
}
