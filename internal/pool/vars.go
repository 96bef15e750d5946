package pool

import (
	"expvar"
	"time"
)

// DatabaseVars are the published metrics of one owned database.
type DatabaseVars struct {
	Group          string           `json:"group"`
	Standby        bool             `json:"standby"` // another instance serves the database
	Reachable      bool             `json:"reachable"`
	Queued         int              `json:"queued"`      // requests waiting in the admission queue
	Limit          int              `json:"limit"`       // requests that may run concurrently
	Connections    int              `json:"connections"` // open or opening work connections
	Idle           int              `json:"idle"`        // idle work connections
	Pinned         int              `json:"pinned"`      // work connections held by open transactions
	MaxConnections int              `json:"allowed"`     // limit on work connections
	WaitMillis     map[string]int64 `json:"wait_ms"`     // expected wait of a new request by rank
}

// Vars returns the metrics of the owned databases by name.
func (p *Pool) Vars() expvar.Var {
	return expvar.Func(func() any {
		out := make(map[string]DatabaseVars)
		for _, d := range p.ownedDatabases() {
			out[d.info.Name] = d.vars()
		}
		return out
	})
}

func (d *ownedDatabase) vars() DatabaseVars {
	state, _ := d.currentState()
	load := d.queue.Load()
	v := DatabaseVars{
		Group: d.group, Standby: d.standby.Load(), Reachable: state.reachable,
		Queued: load.Queued, Limit: load.Limit, MaxConnections: d.conns.limit,
		WaitMillis: make(map[string]int64),
	}
	for _, r := range load.Ranks {
		v.WaitMillis[string(r.Rank)] = r.Wait.Round(time.Millisecond).Milliseconds()
	}
	d.conns.mu.Lock()
	defer d.conns.mu.Unlock()
	v.Connections, v.Idle, v.Pinned = d.conns.numConns, len(d.conns.idle), d.conns.numPinned
	return v
}
