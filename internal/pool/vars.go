package pool

import (
	"expvar"
	"time"
)

// DatabaseVars are the figures of one owned database.
type DatabaseVars struct {
	Group          string           `json:"group"`
	Standby        bool             `json:"standby"` // another instance serves the database
	Reachable      bool             `json:"reachable"`
	Queued         int              `json:"queued"`      // requests that wait for a turn
	Limit          int              `json:"limit"`       // requests that may run at the same time
	Connections    int              `json:"connections"` // open or opening work connections
	Idle           int              `json:"idle"`        // of these, unused
	Pinned         int              `json:"pinned"`      // of these, held by open transactions
	MaxConnections int              `json:"allowed"`     // most work connections
	WaitMillis     map[string]int64 `json:"wait_ms"`     // expected wait of a new request by rank
}

// Vars returns the figures of the owned databases by name.
func (p *Pool) Vars() expvar.Var {
	return expvar.Func(func() any {
		out := make(map[string]DatabaseVars)
		for _, u := range p.owned() {
			out[u.db.Name] = u.vars()
		}
		return out
	})
}

func (u *unit) vars() DatabaseVars {
	seen, _ := u.look()
	load := u.queue.Load()
	v := DatabaseVars{
		Group: u.group, Standby: u.standby.Load(), Reachable: seen.known,
		Queued: load.Queued, Limit: load.Limit, MaxConnections: u.conns.limit,
		WaitMillis: make(map[string]int64),
	}
	for _, r := range load.Ranks {
		v.WaitMillis[string(r.Rank)] = r.Wait.Round(time.Millisecond).Milliseconds()
	}
	u.conns.mu.Lock()
	defer u.conns.mu.Unlock()
	v.Connections, v.Idle, v.Pinned = u.conns.total, len(u.conns.idle), u.conns.pinned
	return v
}
