package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"geraniumbeam/internal/catalog"
	"geraniumbeam/internal/clock"
	"geraniumbeam/internal/directory"
	"geraniumbeam/internal/events"
	"geraniumbeam/internal/metrics"
	"geraniumbeam/internal/ownership"
	"geraniumbeam/internal/platform"
	"geraniumbeam/internal/settings"
)

// Guards against goroutines that are left behind by a stopped server.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fixture is a server on a loopback address in front of a fake cluster.
type fixture struct {
	t         testing.TB
	cluster   *fakeCluster
	directory *directory.Directory
	server    *Server
	metrics   *metrics.Registry
	events    *events.Ring
	address   string
}

// longDuration keeps time limits from ending tests that are not about them.
const longDuration = catalog.Duration(time.Minute)

func testClasses() []catalog.Class {
	return []catalog.Class{
		{Name: "default", Service: "huts", Rank: catalog.RankNormal, LatencyTarget: longDuration},
		{
			Name: "browse", Service: "huts", Rank: catalog.RankBackground, LatencyTarget: longDuration, Repeatable: true,
			Reads: catalog.ReadPolicy{MaxAge: catalog.Duration(5 * time.Second), WhenStale: catalog.WhenStaleMark},
		},
		{Name: "quick", Service: "huts", Rank: catalog.RankUrgent, LatencyTarget: catalog.Duration(50 * time.Millisecond)},
	}
}

func testSettings() settings.Settings {
	return settings.Settings{
		Instance: "i1", DataCentre: "dc1", SessionKey: "0123456789abcdef",
		Callers: settings.Callers{MaxMessage: 1 << 20, StartupTimeout: longDuration, MaxConnections: 100},
	}
}

func mustJSON(t testing.TB, v any) []byte {
	t.Helper()
	b, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func newDirectory(t testing.TB) *directory.Directory {
	self := ownership.Instance{Name: "i1", Address: "i1", DataCentre: "dc1"}
	dir := directory.New(self)
	dir.SetLive([]ownership.Instance{
		self, {Name: "i2", Address: "i2", DataCentre: "dc2"}, {Name: "i3", Address: "i3", DataCentre: "dc3"},
	}, false)
	objects := []platform.Object{
		{Kind: platform.KindService, Name: "huts", Version: 1, Data: mustJSON(t, catalog.Service{Name: "huts", Groups: []string{"g1"}})},
		{Kind: platform.KindGroup, Name: "g1", Version: 2, Data: mustJSON(t, platform.Group{
			Term: 1, Primary: "db-a", Databases: []platform.Database{
				{Name: "db-a", DataCentre: "dc2", Address: "a:1"},
				{Name: "db-b", DataCentre: "dc1", Address: "b:1"},
				{Name: "db-c", DataCentre: "dc3", Address: "c:1"},
			},
		})},
	}
	objects = append(objects,
		platform.Object{Kind: platform.KindService, Name: "pairs", Version: 1, Data: mustJSON(t, catalog.Service{
			Name: "pairs", Groups: []string{"g1", "g2"},
		})},
		platform.Object{Kind: platform.KindClass, Name: "pairs.only", Version: 1, Data: mustJSON(t, catalog.Class{
			Name: "only", Service: "pairs", Rank: catalog.RankNormal, LatencyTarget: longDuration,
		})})
	for i, c := range testClasses() {
		objects = append(objects, platform.Object{
			Kind: platform.KindClass, Name: c.ObjectName(), Version: uint64(3 + i), Data: mustJSON(t, c),
		})
	}
	if _, err := dir.Apply(objects); err != nil {
		t.Fatal(err)
	}
	return dir
}

func newFixture(t testing.TB, change func(*settings.Settings)) *fixture {
	t.Helper()
	set := testSettings()
	if change != nil {
		change(&set)
	}
	f := &fixture{
		t: t, cluster: newFakeCluster(), directory: newDirectory(t),
		metrics: metrics.NewRegistry("i1", "dc1"), events: events.NewRing("i1", 1000, time.Now, nil),
	}
	f.server = New(Config{
		Settings: set, Directory: f.directory, Clients: f.cluster, Metrics: f.metrics, Events: f.events,
		Log: zerolog.Nop(), Clock: clock.Real{},
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.address = l.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- f.server.Serve(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		if err := <-served; err != nil {
			t.Errorf("Serve: %v", err)
		}
		f.server.background.Wait()
	})
	return f
}

func (f *fixture) dsn(extra string) string {
	return "postgres://ann@" + f.address + "/huts?sslmode=prefer" + extra
}

func (f *fixture) connect(extra string) *pgx.Conn {
	f.t.Helper()
	return f.connectTo(f.dsn(extra))
}

func (f *fixture) connectTo(dsn string) *pgx.Conn {
	f.t.Helper()
	conn, err := pgx.Connect(context.Background(), dsn)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func (f *fixture) exec(conn *pgx.Conn, sql string, args ...any) {
	f.t.Helper()
	if _, err := conn.Exec(context.Background(), sql, args...); err != nil {
		f.t.Fatalf("%s: %v", sql, err)
	}
}

// queryValue runs sql and returns the single value of its result.
func (f *fixture) queryValue(conn *pgx.Conn, sql string, args ...any) string {
	f.t.Helper()
	var v string
	if err := conn.QueryRow(context.Background(), sql, args...).Scan(&v); err != nil {
		f.t.Fatalf("%s: %v", sql, err)
	}
	return v
}

// wantSQLState runs sql, requires an error with the SQLSTATE and returns it.
func (f *fixture) wantSQLState(conn *pgx.Conn, sql, state string) *pgconn.PgError {
	f.t.Helper()
	_, err := conn.Exec(context.Background(), sql)
	var pg *pgconn.PgError
	if !errors.As(err, &pg) || pg.Code != state {
		f.t.Fatalf("%s: error %v, want SQLSTATE %s", sql, err, state)
	}
	return pg
}

// eventually waits up to about 10 s until ok returns true.
func (f *fixture) eventually(what string, ok func() bool) {
	f.t.Helper()
	for range 10000 {
		if ok() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	f.t.Fatalf("timed out waiting for %s", what)
}
