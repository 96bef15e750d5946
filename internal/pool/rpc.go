package pool

import (
	"context"
	"time"

	"geraniumbeam/internal/events"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/wire"
)

// Confirm implements wire.Pool. With an offset it returns the status as soon as the
// database has reached the position or a higher term, or when the wait ends. With
// offset 0 it returns a status that was read after the request arrived.
func (p *Pool) Confirm(ctx context.Context, req *wire.ConfirmRequest) (*wire.ConfirmResponse, error) {
	d := p.database(req.GetDatabase())
	if d == nil {
		err := result.Errorf(result.NotOwner, "database %s is not owned by this instance", req.GetDatabase())
		return &wire.ConfirmResponse{Failure: wire.NewFailure(err)}, nil
	}
	if req.GetPosition().GetOffset() == 0 {
		return d.confirmCurrentStatus(ctx), nil
	}
	wait := min(max(req.GetWaitMs(), 0), maxConfirmWait.Milliseconds())
	ctx, cancel := context.WithTimeout(ctx, time.Duration(wait)*time.Millisecond)
	defer cancel()
	position := wire.PositionOf(req.GetPosition())
	for {
		state, changed := d.currentState()
		reached := state.reachable && (state.status.Term > position.Term ||
			state.status.Last.Term == position.Term && state.status.Last.Offset >= position.Offset)
		if !reached {
			select {
			case <-changed:
				continue
			case <-ctx.Done():
			}
		}
		if !state.reachable {
			err := result.Errorf(result.DatabaseDown, "database %s is unreachable", d.info.Name)
			return &wire.ConfirmResponse{Failure: wire.NewFailure(err)}, nil
		}
		return &wire.ConfirmResponse{Status: wire.NewStatus(d.info.Name, state.status)}, nil
	}
}

// maxConfirmWait limits the wait that another instance may request.
const maxConfirmWait = 10 * time.Second

func (d *ownedDatabase) confirmCurrentStatus(ctx context.Context) *wire.ConfirmResponse {
	s, err := d.prober.status(ctx)
	if err != nil {
		err = result.Errorf(result.DatabaseDown, "cannot read the status of database %s: %w", d.info.Name, err)
		return &wire.ConfirmResponse{Failure: wire.NewFailure(err)}
	}
	return &wire.ConfirmResponse{Status: wire.NewStatus(d.info.Name, s)}
}

// GroupStatus implements wire.Pool.
func (p *Pool) GroupStatus(_ context.Context, req *wire.GroupStatusRequest) (*wire.GroupStatusResponse, error) {
	return &wire.GroupStatusResponse{Databases: p.Statuses(req.GetGroup()), Hint: p.hint(req.GetGroup())}, nil
}

// Statuses returns the latest statuses of the owned databases of a group. An empty
// group means all groups.
func (p *Pool) Statuses(group string) []*wire.DatabaseStatus {
	var out []*wire.DatabaseStatus
	for _, d := range p.ownedDatabases() {
		if group != "" && d.group != group {
			continue
		}
		state, _ := d.currentState()
		s := wire.NewStatus(d.info.Name, state.status)
		s.Reachable = state.reachable
		s.Leaving = s.Leaving || d.leaving.Load()
		out = append(out, s)
	}
	return out
}

// ReplicasUnreachableFor returns how long no instance in the replicas' data centres
// has answered this owner of a primary that waits for confirmations, or 0.
func (p *Pool) ReplicasUnreachableFor(database string) time.Duration {
	d := p.database(database)
	if d == nil {
		return 0
	}
	return d.confirmer.replicasUnreachableFor()
}

// Vote implements wire.Pool.
func (p *Pool) Vote(ctx context.Context, req *wire.VoteRequest) (*wire.VoteResponse, error) {
	if v := p.voter.Load(); v != nil {
		return (*v).Vote(ctx, req)
	}
	return &wire.VoteResponse{Databases: p.Statuses(req.GetGroup())}, nil
}

// Cancel implements wire.Pool. A waiting request is refused as not run. A running
// request is cancelled at the database, whose answer is returned to the caller.
func (p *Pool) Cancel(ctx context.Context, req *wire.CancelRequest) (*wire.CancelResponse, error) {
	for _, d := range p.allDatabases() {
		d.cancelRequest(ctx, req.GetRequestId())
	}
	return &wire.CancelResponse{}, nil
}

// EndTransaction implements wire.Pool.
func (p *Pool) EndTransaction(_ context.Context, req *wire.EndTransactionRequest) (*wire.EndTransactionResponse, error) {
	p.transactions.rollBackByID(req.GetTransactionId())
	return &wire.EndTransactionResponse{}, nil
}

// KeepAlive implements wire.Pool.
func (p *Pool) KeepAlive(_ context.Context, req *wire.KeepAliveRequest) (*wire.KeepAliveResponse, error) {
	unknown := p.transactions.keepAlive(req.GetEntryInstance(), req.GetTransactionIds(), p.cfg.Clock.Now())
	return &wire.KeepAliveResponse{UnknownIds: unknown}, nil
}

// Drain refuses new work and waits until all requests and open transactions have
// ended. If ctx ends first, it rolls back the remaining transactions and returns
// the context's error.
func (p *Pool) Drain(ctx context.Context) error {
	if !p.draining.Swap(true) {
		p.record(events.Event{Kind: events.KindDrain, Text: "the pool is draining and takes no new work"})
	}
	select {
	case <-p.inFlight.drained():
		return nil
	case <-ctx.Done():
		p.transactions.rollBackAll()
		return ctx.Err()
	}
}

func (p *Pool) hint(group string) *wire.GroupHint {
	g, ok := p.cfg.Directory.Group(group)
	if !ok {
		return nil
	}
	return &wire.GroupHint{Group: group, Term: g.Term, Primary: g.Primary}
}
