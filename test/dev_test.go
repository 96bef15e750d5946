package integration

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
)

// Guards against a geraniumbeam-dev that does not answer a query on its address or
// does not exit with 0 after SIGTERM.
func TestDevAnswersAndStops(t *testing.T) {
	address := freeAddress(t)
	p := newProcess("dev", "geraniumbeam-dev", "--listen", address)
	p.start(t)
	t.Cleanup(p.cleanup)
	waitFor(t, 30*time.Second, "the first query is answered", func() bool {
		return strings.Contains(p.log.tail(4096), "First query answered: hello")
	})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	conn, err := pgx.Connect(ctx, "postgres://demo@"+address+"/demo?sslmode=disable")
	if err != nil {
		t.Fatal(err)
	}
	var body string
	if err := conn.QueryRow(ctx, "SELECT body FROM greetings").Scan(&body); err != nil || body != "hello" {
		t.Errorf("read of greetings: got %q, %v; want \"hello\"", body, err)
	}
	_ = conn.Close(ctx)
	if code := p.terminate(t, 20*time.Second); code != 0 {
		t.Errorf("exit code %d after SIGTERM, want 0", code)
	}
}

// Guards against files of the example deployment sahel that do not start, or with
// which a confirmation with a request key fails or runs twice.
func TestSahelDeployment(t *testing.T) {
	c := startCluster(t, options{deployment: "sahel"})
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	conn := c.connect(t, "st-1", "geraniumbeam.partition=salon-4")
	if _, err := conn.Exec(ctx, "CREATE TABLE parcels (id text PRIMARY KEY, state text)"); err != nil {
		t.Fatal(err)
	}
	const confirm = "/* geraniumbeam class=confirm-parcel key=parcel-9 */ INSERT INTO parcels (id, state) VALUES ('9', 'confirmed')"
	for _, instance := range []string{"st-1", "st-5"} { // the second one repeats the request with its key
		other := c.connect(t, instance, "geraniumbeam.partition=salon-4")
		tag, err := other.Exec(ctx, confirm, pgx.QueryExecModeSimpleProtocol)
		if err != nil || tag.RowsAffected() != 1 {
			t.Fatalf("confirmation through %s: got %v, %v; want 1 row affected", instance, tag, err)
		}
	}
	var n int
	if err := conn.QueryRow(ctx, "SELECT count(*) FROM parcels").Scan(&n); err != nil || n != 1 {
		t.Errorf("got %d parcels, %v; want 1", n, err)
	}
}
