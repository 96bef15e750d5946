package integration

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
)

// tokenParameter carries the session token.
const tokenParameter = "geraniumbeam.session"

// notRun reports whether an error states that the request had no effect. After
// any other error that is not a database error the outcome is unknown.
func notRun(err error) bool {
	var pg *pgconn.PgError
	if !errors.As(err, &pg) {
		return false
	}
	return strings.HasPrefix(pg.Detail, "The request was not run.")
}

// roamingSession is a session that moves between instances. It alone writes its row,
// whose value only increases, so that each read can be checked against the session's
// own writes.
type roamingSession struct {
	c         *cluster
	id        int
	rng       *rand.Rand
	instances []string
	params    []string

	conns     map[string]*pgx.Conn
	token     string
	confirmed int64 // value of the last acknowledged write
	attempted int64 // value of the last write sent
	stats     *roamingStats
}

// roamingStats counts the operations of all sessions by outcome.
type roamingStats struct {
	mu         sync.Mutex
	reads      int
	writes     int
	refused    int
	unknown    int
	violations []string
	reasons    map[string]int // refused and unknown operations by error
}

// countFailure counts an operation that failed, as refused or with an unknown outcome.
func (s *roamingStats) countFailure(err error, unknown bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if unknown {
		s.unknown++
	} else {
		s.refused++
	}
	if s.reasons == nil {
		s.reasons = make(map[string]int)
	}
	s.reasons[errorSummary(err)]++
}

// errorSummary returns the codes of a database error, or the last part of another
// error's text.
func errorSummary(err error) string {
	var pg *pgconn.PgError
	if errors.As(err, &pg) {
		code, _, _ := strings.Cut(pg.Message, " ")
		return pg.Code + " " + code
	}
	text := err.Error()
	if i := strings.LastIndex(text, ": "); i >= 0 {
		text = text[i+2:]
	}
	return text
}

func (s *roamingStats) update(f func(*roamingStats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

func (s *roamingStats) operations() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads + s.writes + s.refused + s.unknown
}

// operationTimeout bounds an operation of a session. A request that takes longer
// has an unknown outcome.
const operationTimeout = 10 * time.Second

// conn returns the session's connection to an instance and opens it if needed.
func (r *roamingSession) conn(ctx context.Context, instance string) (*pgx.Conn, error) {
	if c := r.conns[instance]; c != nil && !c.IsClosed() {
		return c, nil
	}
	c, err := pgx.Connect(ctx, r.c.callerURL(instance, r.params...))
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", instance, err)
	}
	r.conns[instance] = c
	return c, nil
}

// connectToRandom returns a connection to a random instance. With withToken, it
// sets the session's token there; otherwise it closes an older connection first,
// so that the instance does not know the session.
func (r *roamingSession) connectToRandom(ctx context.Context, withToken bool) (*pgx.Conn, error) {
	instance := r.instances[r.rng.IntN(len(r.instances))]
	if !withToken && r.conns[instance] != nil {
		_ = r.conns[instance].Close(ctx)
		delete(r.conns, instance)
	}
	c, err := r.conn(ctx, instance)
	if err != nil || !withToken || r.token == "" {
		return c, err
	}
	_, err = c.Exec(ctx, "SET "+tokenParameter+" = '"+r.token+"'")
	return c, err
}

// step sends a write or a read. About one operation in five does not pass the
// token on.
func (r *roamingSession) step(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	write := r.rng.IntN(100) < 30 || r.attempted == 0
	withToken := r.rng.IntN(100) < 80
	c, err := r.connectToRandom(ctx, withToken)
	if err != nil {
		r.stats.countFailure(err, false)
		return
	}
	if write {
		r.write(ctx, c)
		return
	}
	r.read(ctx, c)
}

func (r *roamingSession) write(ctx context.Context, c *pgx.Conn) {
	value := r.attempted + 1
	r.attempted = value
	_, err := c.Exec(ctx, "INSERT INTO roam (id, value) VALUES ($1, $2) ON CONFLICT (id) DO UPDATE SET value = excluded.value", r.id, value)
	switch {
	case err == nil:
		r.confirmed = value
		r.token = c.PgConn().ParameterStatus(tokenParameter)
		r.stats.update(func(s *roamingStats) { s.writes++ })
	case notRun(err):
		r.stats.countFailure(err, false)
	default:
		// The token does not cover this write, whose outcome is unknown. Acknowledged
		// writes must still be visible.
		r.stats.countFailure(err, true)
	}
}

func (r *roamingSession) read(ctx context.Context, c *pgx.Conn) {
	var value int64
	err := c.QueryRow(ctx, "SELECT value FROM roam WHERE id = $1", r.id).Scan(&value)
	if errors.Is(err, pgx.ErrNoRows) || undefinedTable(err) {
		// The replica's data is older than the session's first write.
		value, err = 0, nil
	}
	if err != nil {
		r.stats.countFailure(err, false)
		return
	}
	r.stats.update(func(s *roamingStats) {
		s.reads++
		if value < r.confirmed || value > r.attempted {
			s.violations = append(s.violations, fmt.Sprintf("session %d read value %d, want one from its last acknowledged write, %d, to its last write, %d", r.id, value, r.confirmed, r.attempted))
		}
	})
}

func undefinedTable(err error) bool {
	var pg *pgconn.PgError
	return errors.As(err, &pg) && pg.Code == "42P01"
}

func (r *roamingSession) close() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, c := range r.conns {
		_ = c.Close(ctx)
	}
}

// maxThinkTime bounds the random time between two operations of a session, which
// spreads the operations over the faults.
const maxThinkTime = 10 * time.Millisecond

// runRoamingSessions runs sessions until they have done ops operations in total.
func runRoamingSessions(t testing.TB, c *cluster, seed uint64, sessions, ops int, instances []string, params ...string) *roamingStats {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Minute)
	defer cancel()
	setup := c.connect(t, instances[0], params...)
	if _, err := setup.Exec(ctx, "CREATE TABLE IF NOT EXISTS roam (id bigint PRIMARY KEY, value bigint)"); err != nil {
		t.Fatalf("create table: %v", err)
	}
	stats := &roamingStats{}
	var wg sync.WaitGroup
	for id := range sessions {
		wg.Go(func() {
			r := &roamingSession{
				c: c, id: id, rng: rand.New(rand.NewPCG(seed, uint64(id))), instances: instances,
				params: params, conns: make(map[string]*pgx.Conn), stats: stats,
			}
			defer r.close()
			for stats.operations() < ops && ctx.Err() == nil {
				r.step(ctx)
				time.Sleep(time.Duration(r.rng.Int64N(int64(maxThinkTime))))
			}
		})
	}
	wg.Wait()
	return stats
}

// setApplyLag delays the application of replicated log entries on a database.
func (c *cluster) setApplyLag(t testing.TB, database string, lag time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if _, err := c.connectDirect(t, database).Exec(ctx, fmt.Sprintf("SELECT standin_set('apply_lag_ms', %d)", lag.Milliseconds())); err != nil {
		t.Fatalf("set the apply lag of %s: %v", database, err)
	}
}
