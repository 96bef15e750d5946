package pool

import (
	"context"
	"slices"
	"time"

	"geraniumbeam/internal/admission"
	"geraniumbeam/internal/backend"
	"geraniumbeam/internal/catalog"
)

const (
	// sweepEvery is how often expired request keys are removed.
	sweepEvery = time.Minute
	// sweepUnused is the same while the unit has not seen a key itself. Another
	// owner may have stored some before.
	sweepUnused = 30 * time.Minute
	// sweepTimeout bounds one removal, including its wait in the queue.
	sweepTimeout = 10 * time.Second
	// sweepRows bounds one removal, so that it does not hold the database's
	// locks for long.
	sweepRows = 1000
)

// sweep removes expired request keys in the background if that is due. Only the
// active owner of the primary does so.
func (u *unit) sweep(now time.Time) {
	seen, _ := u.look()
	if seen.status.Role != backend.RolePrimary || u.standby.Load() {
		return
	}
	every := sweepEvery
	if u.keyed.Load() != seen.status.Term {
		every = sweepUnused
	}
	if now.Sub(u.swept) < every {
		return
	}
	u.swept = now
	u.pool.workers.TrySubmit(func() { u.removeExpired(now) })
}

func (u *unit) removeExpired(now time.Time) {
	catalogue := u.pool.cfg.Directory.Catalog()
	for _, c := range catalogue.Classes("") {
		service, _ := catalogue.Service(c.Service)
		if u.ctx.Err() != nil {
			return
		}
		if !slices.Contains(service.Groups, u.group) {
			continue
		}
		lifetime := c.KeyLifetime.Std()
		if lifetime == 0 {
			lifetime = catalog.DefaultKeyLifetime
		}
		if err := u.removeOlder(c.ObjectName(), now.Add(-lifetime)); err != nil {
			u.pool.cfg.Log.Warn().Err(err).Str("database", u.db.Name).Msg("Removal of request keys failed.")
			return
		}
	}
}

// removeOlder removes keys of a class. It looks first, because a removal that
// finds nothing could still write a log entry.
func (u *unit) removeOlder(class string, before time.Time) error {
	ctx, cancel := context.WithTimeout(u.ctx, sweepTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	ticket, err := u.queue.Acquire(ctx, admission.Request{
		ID: "sweep", Class: "geraniumbeam.sweep", Rank: catalog.RankBackground, Deadline: deadline,
	})
	if err != nil {
		return err
	}
	defer ticket.Release(0)
	conn, err := u.conns.take(ctx, false)
	if err != nil {
		return err
	}
	where := " WHERE class = " + quote(class) + " AND created < " + bigint(before.UnixMilli())
	look, err := u.query(ctx, conn, "SELECT key FROM "+keysTable+where+" LIMIT 1")
	if err == nil && look.Before.Role == backend.RolePrimary && look.Tag == "SELECT 1" {
		_, err = u.query(ctx, conn, "DELETE FROM "+keysTable+" WHERE key IN (SELECT key FROM "+keysTable+where+" LIMIT "+bigint(sweepRows)+")")
	}
	if err != nil {
		u.conns.discard(conn)
		return err
	}
	u.conns.put(conn)
	return nil
}

func (u *unit) query(ctx context.Context, conn backend.Conn, sql string) (backend.Answer, error) {
	return conn.Run(ctx, backend.Batch{Messages: simpleQuery(sql)}, false, sweepAnswer, func() {})
}

// sweepAnswer bounds the answers of the background removal in bytes.
const sweepAnswer = 64 << 10
