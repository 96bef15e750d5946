package confsync

import (
	"context"
	"time"

	"geraniumbeam/internal/ownership"
	"geraniumbeam/internal/platform"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/wire"
)

// Limits of pushes. Objects whose push is dropped at a limit are repaired through
// digests.
const (
	fanOut          = 8   // children of an instance in the tree
	pushWorkers     = 16  // concurrent pushes per instance
	pushQueueSize   = 256 // queued pushes per instance
	maxPushAttempts = 3   // children tried per subtree
	pushTimeout     = time.Second
	maxPushBytes    = 256 << 10 // object data per message
	maxForward      = 10000     // entries of forward_to per message
)

// subtree is a child in the tree and the instances to which it forwards.
type subtree struct {
	child       ownership.Instance
	descendants []ownership.Instance
}

// splitSubtrees divides the targets into at most width subtrees of similar size.
func splitSubtrees(targets []ownership.Instance, width int) []subtree {
	n := min(width, len(targets))
	out := make([]subtree, 0, n)
	for i := range n {
		part := targets[i*len(targets)/n : (i+1)*len(targets)/n]
		out = append(out, subtree{child: part[0], descendants: part[1:]})
	}
	return out
}

// splitBySize divides the objects into parts whose data does not exceed the limit,
// unless a single object does.
func splitBySize(objects []platform.Object, limit int) [][]platform.Object {
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

// pushToLocalPeers sends objects to the other instances of this data centre. Each
// relay uses a different random tree, so that a failed instance or relay does not
// keep the objects from others.
func (s *Syncer) pushToLocalPeers(ctx context.Context, objects []platform.Object) {
	targets := s.localPeers()
	s.shuffle(targets)
	for _, part := range splitBySize(objects, maxPushBytes) {
		s.forward(ctx, toWire(part), targets)
	}
}

// forward queues a push for each subtree of the targets.
func (s *Syncer) forward(ctx context.Context, objects []*wire.Object, targets []ownership.Instance) {
	for _, tree := range splitSubtrees(targets, fanOut) {
		s.submitPush(func() { s.pushSubtree(ctx, objects, tree) })
	}
}

func (s *Syncer) submitPush(job func()) {
	if err := s.pushes.Go(job); err != nil {
		s.vars.Add("push_dropped", 1)
	}
}

// pushSubtree sends the objects to the child. If that fails, the first of the
// instances below becomes the child.
func (s *Syncer) pushSubtree(ctx context.Context, objects []*wire.Object, tree subtree) {
	for try := 0; try < maxPushAttempts && ctx.Err() == nil; try++ {
		names := make([]string, len(tree.descendants))
		for i, in := range tree.descendants {
			names[i] = in.Name
		}
		callCtx, cancel := context.WithTimeout(ctx, pushTimeout)
		_, err := s.cfg.Clients.Peer(tree.child.Address).PushObjects(callCtx, &wire.PushObjectsRequest{
			From: s.self.Name, Objects: objects, ForwardTo: names,
		})
		cancel()
		if err == nil {
			s.vars.Add("pushed", 1)
			return
		}
		s.vars.Add("push_failed", 1)
		s.log.Debug().Err(err).Str("peer", tree.child.Name).Msg("Push failed.")
		if len(tree.descendants) == 0 {
			return
		}
		tree = subtree{child: tree.descendants[0], descendants: tree.descendants[1:]}
	}
}

// PushObjects implements wire.Peer. It answers once the objects are applied and
// forwards them afterwards. It forwards objects that were already known too,
// because the push that brought them may have used a tree with other instances
// below this one.
func (s *Syncer) PushObjects(_ context.Context, req *wire.PushObjectsRequest) (*wire.PushObjectsResponse, error) {
	if len(req.GetForwardTo()) > maxForward {
		return nil, result.Errorf(result.Invalid, "field forward_to has %d entries: want at most %d",
			len(req.GetForwardTo()), maxForward)
	}
	s.apply(fromWire(req.GetObjects()), req.GetFrom())
	// The caller's context ends with the answer. The forwarded calls are bounded by
	// pushTimeout.
	s.forward(context.Background(), req.GetObjects(), s.livePeers(req.GetForwardTo()))
	return &wire.PushObjectsResponse{}, nil
}

// livePeers returns the live instances of this data centre with the given names.
func (s *Syncer) livePeers(names []string) []ownership.Instance {
	wanted := make(map[string]bool, len(names))
	for _, n := range names {
		wanted[n] = true
	}
	var out []ownership.Instance
	for _, in := range s.localPeers() {
		if wanted[in.Name] {
			out = append(out, in)
		}
	}
	return out
}
