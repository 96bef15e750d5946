package confsync

import (
	"context"
	"time"

	"geraniumbeam/internal/ownership"
	"geraniumbeam/internal/platform"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/wire"
)

// Limits of pushes. What a limit drops is repaired by digests.
const (
	fanOut       = 8   // children of an instance in the tree
	pushWorkers  = 16  // pushes in progress per instance
	pushQueue    = 256 // pushes that wait
	pushTries    = 3   // children tried per subtree
	pushTimeout  = time.Second
	maxPushBytes = 256 << 10 // object data per message
	maxForward   = 10000     // instances below one child
)

// subtree is a child and the instances below it.
type subtree struct {
	child ownership.Instance
	below []ownership.Instance
}

// split divides targets into at most width subtrees of similar size.
func split(targets []ownership.Instance, width int) []subtree {
	n := min(width, len(targets))
	out := make([]subtree, 0, n)
	for i := range n {
		part := targets[i*len(targets)/n : (i+1)*len(targets)/n]
		out = append(out, subtree{child: part[0], below: part[1:]})
	}
	return out
}

// chunks divides objects so that the data of each part stays under limit,
// unless a single object exceeds it.
func chunks(objects []platform.Object, limit int) [][]platform.Object {
	var out [][]platform.Object
	start, size := 0, 0
	for i, o := range objects {
		if i > start && size+len(o.Data) > limit {
			out = append(out, objects[start:i])
			start, size = i, 0
		}
		size += len(o.Data)
	}
	if start < len(objects) {
		out = append(out, objects[start:])
	}
	return out
}

// pushDown sends objects to the instances of the own data centre. Each relay
// does so with a tree of its own, so that one failed instance or relay does not
// hold back others.
func (s *Syncer) pushDown(ctx context.Context, objects []platform.Object) {
	targets := s.local()
	s.shuffle(targets)
	for _, part := range chunks(objects, maxPushBytes) {
		s.forward(ctx, toWire(part), targets)
	}
}

// forward queues one push per subtree.
func (s *Syncer) forward(ctx context.Context, objects []*wire.Object, targets []ownership.Instance) {
	for _, t := range split(targets, fanOut) {
		s.submit(func() { s.pushSubtree(ctx, objects, t) })
	}
}

func (s *Syncer) submit(job func()) {
	if err := s.pushes.Go(job); err != nil {
		s.vars.Add("push_dropped", 1)
	}
}

// pushSubtree sends to the child; if it does not answer, the next instance
// below takes its place.
func (s *Syncer) pushSubtree(ctx context.Context, objects []*wire.Object, t subtree) {
	for try := 0; try < pushTries && ctx.Err() == nil; try++ {
		names := make([]string, len(t.below))
		for i, in := range t.below {
			names[i] = in.Name
		}
		call, cancel := context.WithTimeout(ctx, pushTimeout)
		_, err := s.cfg.Clients.Peer(t.child.Address).PushObjects(call, &wire.PushObjectsRequest{
			From: s.self.Name, Objects: objects, ForwardTo: names,
		})
		cancel()
		if err == nil {
			s.vars.Add("pushed", 1)
			return
		}
		s.vars.Add("push_failed", 1)
		s.log.Debug().Err(err).Str("peer", t.child.Name).Msg("Push failed.")
		if len(t.below) == 0 {
			return
		}
		t = subtree{child: t.below[0], below: t.below[1:]}
	}
}

// PushObjects implements the method of wire.Peer. It answers once the objects
// are applied and passes them on afterwards, also if all were known: the push
// that brought them may have followed a tree with other instances below.
func (s *Syncer) PushObjects(_ context.Context, req *wire.PushObjectsRequest) (*wire.PushObjectsResponse, error) {
	if len(req.GetForwardTo()) > maxForward {
		return nil, result.Errorf(result.Invalid, "field forward_to has %d entries: want at most %d",
			len(req.GetForwardTo()), maxForward)
	}
	s.apply(fromWire(req.GetObjects()), req.GetFrom())
	// The caller's context ends with the answer; pushTimeout bounds the calls.
	s.forward(context.Background(), req.GetObjects(), s.resolve(req.GetForwardTo()))
	return &wire.PushObjectsResponse{}, nil
}

// resolve returns the live instances with the given names.
func (s *Syncer) resolve(names []string) []ownership.Instance {
	wanted := make(map[string]bool, len(names))
	for _, n := range names {
		wanted[n] = true
	}
	var out []ownership.Instance
	for _, in := range s.local() {
		if wanted[in.Name] {
			out = append(out, in)
		}
	}
	return out
}
