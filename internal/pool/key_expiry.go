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
	// keyExpiryInterval is the interval between removals of expired request keys.
	keyExpiryInterval = time.Minute
	// keyExpiryIdleInterval is the same while this owner has not used a key at the
	// current term. Earlier owners may have stored some.
	keyExpiryIdleInterval = 30 * time.Minute
	// keyExpiryTimeout is the timeout of one removal, including its wait in the
	// admission queue.
	keyExpiryTimeout = 10 * time.Second
	// keyExpiryMaxRows limits the rows of one removal, so that it does not hold
	// locks in the database for long.
	keyExpiryMaxRows = 1000
)

// expireKeysIfDue removes expired request keys in the background if that is due.
// Only the active owner of the primary does this.
func (d *ownedDatabase) expireKeysIfDue(now time.Time) {
	state, _ := d.currentState()
	if state.status.Role != backend.RolePrimary || d.standby.Load() {
		return
	}
	interval := keyExpiryInterval
	if d.keysTableTerm.Load() != state.status.Term {
		interval = keyExpiryIdleInterval
	}
	if now.Sub(d.lastKeyExpiry) < interval {
		return
	}
	d.lastKeyExpiry = now
	d.pool.workers.TrySubmit(func() { d.removeExpiredKeys(now) })
}

func (d *ownedDatabase) removeExpiredKeys(now time.Time) {
	catalogue := d.pool.cfg.Directory.Catalog()
	for _, c := range catalogue.Classes("") {
		service, _ := catalogue.Service(c.Service)
		if d.ctx.Err() != nil {
			return
		}
		if !slices.Contains(service.Groups, d.group) {
			continue
		}
		lifetime := c.KeyLifetime.Std()
		if lifetime == 0 {
			lifetime = catalog.DefaultKeyLifetime
		}
		if err := d.removeKeysBefore(c.ObjectName(), now.Add(-lifetime)); err != nil {
			d.pool.cfg.Log.Warn().Err(err).Str("database", d.info.Name).Msg("Cannot remove expired request keys.")
			return
		}
	}
}

// removeKeysBefore removes keys of a class that were created before a time. It
// selects first, because a DELETE without matching rows could still write a log
// entry.
func (d *ownedDatabase) removeKeysBefore(class string, before time.Time) error {
	ctx, cancel := context.WithTimeout(d.ctx, keyExpiryTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	ticket, err := d.queue.Acquire(ctx, admission.Request{
		ID: "sweep", Class: "geraniumbeam.sweep", Rank: catalog.RankBackground, Deadline: deadline,
	})
	if err != nil {
		return err
	}
	defer ticket.Release(0)
	conn, err := d.conns.get(ctx, false)
	if err != nil {
		return err
	}
	where := " WHERE class = " + quote(class) + " AND created < " + bigint(before.UnixMilli())
	found, err := d.query(ctx, conn, "SELECT key FROM "+keysTable+where+" LIMIT 1")
	if err == nil && found.StatusBefore.Role == backend.RolePrimary && found.CommandTag == "SELECT 1" {
		_, err = d.query(ctx, conn, "DELETE FROM "+keysTable+" WHERE key IN (SELECT key FROM "+keysTable+where+" LIMIT "+bigint(keyExpiryMaxRows)+")")
	}
	if err != nil {
		d.conns.discard(conn)
		return err
	}
	d.conns.put(conn)
	return nil
}

func (d *ownedDatabase) query(ctx context.Context, conn backend.Conn, sql string) (backend.Answer, error) {
	return conn.Run(ctx, backend.Batch{Messages: simpleQuery(sql)}, false, keyExpiryMaxAnswer, func() {})
}

// keyExpiryMaxAnswer limits the answers to the statements of a removal, in bytes.
const keyExpiryMaxAnswer = 64 << 10
