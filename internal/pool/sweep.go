package pool

import (
	"context"
	"time"

	"geraniumbeam/internal/admission"
	"geraniumbeam/internal/backend"
	"geraniumbeam/internal/catalog"
)

const (
	// sweepEvery is how often expired request keys are removed.
	sweepEvery = time.Minute
	// sweepTimeout bounds one removal, including its wait in the queue.
	sweepTimeout = 10 * time.Second
	// sweepRows bounds one removal, so that it does not hold the database's
	// locks for long.
	sweepRows = 1000
)

// sweep removes expired request keys in the background if that is due. Only a
// unit that used keys on the primary at its present term does so.
func (u *unit) sweep(now time.Time) {
	seen, _ := u.look()
	if seen.status.Role != backend.RolePrimary || u.keyed.Load() != seen.status.Term || u.standby.Load() {
		return
	}
	if !u.swept.IsZero() && now.Sub(u.swept) < sweepEvery {
		return
	}
	u.swept = now
	u.pool.workers.TrySubmit(func() { u.removeExpired(now) })
}

func (u *unit) removeExpired(now time.Time) {
	for _, c := range u.pool.cfg.Directory.Catalog().Classes("") {
		if u.ctx.Err() != nil {
			return
		}
		lifetime := c.KeyLifetime.Std()
		if lifetime == 0 {
			lifetime = catalog.DefaultKeyLifetime
		}
		if err := u.removeOlder(c.ObjectName(), now.Add(-lifetime)); err != nil {
			u.pool.cfg.Log.Warn().Err(err).Str("database", u.db.Name).Msg("removal of request keys failed")
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
