package proxy

import (
	"time"

	"geraniumbeam/internal/dbpool"
	"geraniumbeam/internal/primacy"
	"geraniumbeam/internal/statement"
)

const (
	// remotePenalty is the waiting time that a database in another data centre
	// must save to be preferred: traffic between data centres is billed.
	remotePenalty = 4 * time.Millisecond
	// primaryPenalty reserves the primary for work that only it can do.
	primaryPenalty = 20 * time.Millisecond
	// laggingPenalty avoids a replica whose last reported position is behind
	// the one that the read requires. It may have caught up since.
	laggingPenalty = 12 * time.Millisecond
	// connectCost is the time to open a connection.
	connectCost = 15 * time.Millisecond
	// oversubscribedCost is added to the cost of opening a connection while the
	// connection limits don't allow each instance one to every replica. Reads
	// then stay on the replica to which a connection is open.
	oversubscribedCost = 60 * time.Millisecond
	// atLimitCost avoids a database that has just refused a connection because
	// of its connection limit.
	atLimitCost = 150 * time.Millisecond
	// repeatPenalty is added for each earlier attempt of the request at the
	// database.
	repeatPenalty = 100 * time.Millisecond
	// maxAttemptsPerDatabase bounds the attempts of a request at one database.
	maxAttemptsPerDatabase = 3
)

// chooseTarget returns the database for the next attempt: the primary if the
// request needs it, otherwise a usable replica or the primary. It reports false if no database is usable now.
func (s *session) chooseTarget(req *request) (target, bool) {
	srv := s.srv
	service := req.route.Service
	primary, hasPrimary := srv.cfg.Records.Primary(service)
	if req.needsPrimary() {
		if !hasPrimary {
			return target{}, false
		}
		return s.primaryTarget(req, primary)
	}
	required, provable := srv.history(service).RequiredPosition(srv.cfg.Now(), req.route.MaxAge)
	required = required.Max(s.floor)
	var options []option
	for _, d := range srv.cfg.Topology.Snapshot().Databases[service] {
		isPrimary := hasPrimary && d.ID == primary.ID
		if d.Leaving || (!isPrimary && !provable) || req.attemptsByDatabase[d.ID] >= maxAttemptsPerDatabase {
			continue
		}
		pool, ok := srv.cfg.Pools.Pool(d.ID, req.organisation)
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
		options = append(options, option{
			target: t, load: load, dataCentre: d.DataCentre, required: required,
			extra: pool.SetupTime(req.organisation, s.variables) + time.Duration(req.attemptsByDatabase[d.ID])*repeatPenalty,
		})
	}
	if srv.cfg.Distances != nil {
		return s.chooseBalanced(req, options)
	}
	return cheapest(options, srv.cfg.DataCentre)
}

// option is a database that may serve a read.
type option struct {
	target     target
	load       dbpool.Load
	dataCentre string
	required   statement.Position
	extra      time.Duration // costs of this request at the database
}

// cheapest returns the option with the lowest cost for an instance in the data centre. It
// reports false if there is none.
func cheapest(options []option, dataCentre string) (target, bool) {
	var best target
	bestCost := time.Duration(-1)
	for _, o := range options {
		c := cost(o.load, o.dataCentre != dataCentre, o.target.usesPrimary(), o.required) + o.extra
		if bestCost < 0 || c < bestCost {
			best, bestCost = o.target, c
		}
	}
	return best, bestCost >= 0
}

// cost returns the estimated time until the answer, plus penalties.
func cost(l dbpool.Load, remote, primary bool, required statement.Position) time.Duration {
	c := l.MeanLatency + openingCost(l)
	c += l.MeanLatency * time.Duration(l.InUse+l.Queued) / time.Duration(max(1, l.MaxOpen))
	if remote {
		c += remotePenalty
	}
	if primary {
		c += primaryPenalty
	} else if l.Position.Before(required) {
		c += laggingPenalty
	}
	return c
}

// openingCost returns the expected time until a connection is open, plus penalties.
func openingCost(l dbpool.Load) time.Duration {
	c := time.Duration(0)
	if l.Idle == 0 && l.InUse < l.MaxOpen {
		c += connectCost
		if l.Oversubscribed {
			c += oversubscribedCost
		}
	}
	if l.AtLimit {
		c += atLimitCost
	}
	return c
}

// primaryTarget returns the primary p. It reports false if the primary is
// unreachable or has been leaving for longer than LeavingPrimaryTimeout.
func (s *session) primaryTarget(req *request, p primacy.Primary) (target, bool) {
	srv := s.srv
	pool, ok := srv.cfg.Pools.Pool(p.ID, req.organisation)
	if !ok {
		return target{}, false
	}
	if d, ok := srv.cfg.Topology.Snapshot().Find(req.route.Service, p.ID); !ok || d.LeavingFor(srv.cfg.Now()) > srv.cfg.LeavingPrimaryTimeout {
		return target{}, false
	}
	if pool.Load().Down {
		return target{}, false
	}
	return target{pool: pool, primary: p}, true
}
