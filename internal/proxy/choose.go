package proxy

import (
	"time"

	"geraniumbeam/internal/dbpool"
	"geraniumbeam/internal/primacy"
	"geraniumbeam/internal/statement"
)

const (
	// remotePenalty is what a database in another data centre must save in
	// waiting time to be preferred: its traffic is paid for.
	remotePenalty = 4 * time.Millisecond
	// primaryPenalty leaves the primary to the work that only it can do.
	primaryPenalty = 20 * time.Millisecond
	// behindPenalty avoids a replica whose latest answer was behind what the
	// read needs. It may have caught up since.
	behindPenalty = 12 * time.Millisecond
	// connectCost is the time that a new connection takes.
	connectCost = 15 * time.Millisecond
	// scarceCost keeps reads with the replica to which a connection is open
	// while the limits have no room for connections to all.
	scarceCost = 60 * time.Millisecond
	// fullCost avoids a database that just refused a connection for its limit.
	fullCost = 150 * time.Millisecond
	// triedPenalty prefers databases that the request has not tried.
	triedPenalty = 100 * time.Millisecond
	// maxTries bounds the attempts at one database.
	maxTries = 3
)

// choose returns the database for the next attempt. It reports false if there
// is none at present.
func (x *session) choose(q *request) (target, bool) {
	s := x.s
	service := q.route.Service
	primary, led := s.cfg.Records.Primary(service)
	if q.needsPrimary() {
		if !led {
			return target{}, false
		}
		return x.primaryTarget(q, primary)
	}
	required, proved := s.history(service).RequiredPosition(s.cfg.Now(), q.route.MaxAge)
	required = required.Max(x.floor)
	var best target
	bestCost := time.Duration(-1)
	for _, d := range s.cfg.Topology.Snapshot().Databases[service] {
		isPrimary := led && d.ID == primary.ID
		if d.Leaving || (!isPrimary && !proved) || q.tried[d.ID] >= maxTries {
			continue
		}
		pool, ok := s.cfg.Pools.Pool(d.ID)
		if !ok {
			continue
		}
		load := pool.Load()
		if load.Down || (!isPrimary && load.Lagging) {
			continue
		}
		t := target{pool: pool, waitFor: required}
		if isPrimary {
			t = target{pool: pool, primary: primary}
		}
		c := cost(load, d.DataCentre != s.cfg.DataCentre, isPrimary, required) + time.Duration(q.tried[d.ID])*triedPenalty
		if bestCost < 0 || c < bestCost {
			best, bestCost = t, c
		}
	}
	return best, bestCost >= 0
}

// cost estimates the time until an answer, plus penalties.
func cost(l dbpool.Load, remote, primary bool, required statement.Position) time.Duration {
	c := l.MeanLatency
	if l.Idle == 0 && l.InUse < l.MaxOpen {
		c += connectCost
		if l.Oversubscribed {
			c += scarceCost
		}
	}
	if l.AtLimit {
		c += fullCost
	}
	c += l.MeanLatency * time.Duration(l.InUse+l.Queued) / time.Duration(max(1, l.MaxOpen))
	if remote {
		c += remotePenalty
	}
	if primary {
		c += primaryPenalty
	} else if l.Position.Before(required) {
		c += behindPenalty
	}
	return c
}

// primaryTarget returns the primary, unless it has been leaving for so long
// that it must not get work.
func (x *session) primaryTarget(q *request, p primacy.Primary) (target, bool) {
	s := x.s
	pool, ok := s.cfg.Pools.Pool(p.ID)
	if !ok {
		return target{}, false
	}
	if d, ok := s.cfg.Topology.Snapshot().Find(q.route.Service, p.ID); !ok || d.LeavingFor(s.cfg.Now()) > s.cfg.LeavingPrimaryTimeout {
		return target{}, false
	}
	if pool.Load().Down {
		return target{}, false
	}
	return target{pool: pool, primary: p}, true
}
