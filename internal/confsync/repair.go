package confsync

import (
	"cmp"
	"context"
	"slices"
	"time"

	"geraniumbeam/internal/ownership"
	"geraniumbeam/internal/platform"
	"geraniumbeam/internal/wire"
)

// Limits of repairs.
const (
	fetchTimeout  = 2 * time.Second
	maxFetchBytes = 16 << 20 // object data per answer
	// minRepairDelay and maxRepairDelay bound the delay after a fetch without
	// progress, such as when peers disagree on whether an object is valid.
	minRepairDelay = 250 * time.Millisecond
	maxRepairDelay = time.Minute
)

type peerDigest struct {
	peer            ownership.Instance
	digest, version uint64
}

// ObserveDigest processes the digest that a peer sent with gossip. It does not
// block.
func (s *Syncer) ObserveDigest(peer ownership.Instance, digest, version uint64) {
	own, ownVersion := s.cfg.Directory.Digest()
	if digest == own || version < ownVersion {
		return // if the peer lacks objects, it fetches them from this instance
	}
	select {
	case s.digests <- peerDigest{peer, digest, version}:
	default: // a repair is in progress; the next gossip reports the remaining difference
	}
}

// runRepairs fetches objects from peers whose digest differs.
func (s *Syncer) runRepairs(ctx context.Context) {
	r := repairState{}
	for {
		select {
		case p := <-s.digests:
			own, version := s.cfg.Directory.Digest()
			above, wanted := r.decide(s.clock.Now(), p, own, version)
			if !wanted {
				continue
			}
			request := versionsAbove(version)
			if !above {
				request = s.heldVersions()
			}
			applied := s.fetch(ctx, p.peer, request)
			r.finish(s.clock.Now(), applied > 0)
		case <-ctx.Done():
			return
		}
	}
}

// repairState decides when and what to fetch.
type repairState struct {
	notBefore  time.Time     // earliest time of the next fetch
	delay      time.Duration // after the last fetch without progress
	compareAll bool          // the next fetch compares all versions
}

// decide reports whether to fetch from p, and whether to fetch only objects above
// this instance's highest version.
func (r *repairState) decide(now time.Time, p peerDigest, own, version uint64) (above, wanted bool) {
	if p.digest == own {
		*r = repairState{}
		return false, false
	}
	if p.version < version || now.Before(r.notBefore) {
		return false, false
	}
	if p.version > version && !r.compareAll {
		return true, true
	}
	if r.delay == 0 {
		// A push in progress causes the same difference: wait before comparing all.
		r.finish(now, false)
		return false, false
	}
	return false, true
}

// finish sets the delay to the next fetch.
func (r *repairState) finish(now time.Time, progress bool) {
	if progress {
		*r = repairState{}
		return
	}
	r.compareAll = true
	r.delay = min(max(minRepairDelay, 2*r.delay), maxRepairDelay)
	r.notBefore = now.Add(r.delay)
}

// versionsAbove returns the request for all objects above a version, which is a
// single entry without kind and name.
func versionsAbove(version uint64) []*wire.ObjectVersion {
	return []*wire.ObjectVersion{{Version: version}}
}

func (s *Syncer) heldVersions() []*wire.ObjectVersion {
	objects := s.cfg.Directory.Objects()
	out := make([]*wire.ObjectVersion, len(objects))
	for i, o := range objects {
		out[i] = &wire.ObjectVersion{Kind: o.Kind, Name: o.Name, Version: o.Version}
	}
	return out
}

// fetch requests the objects missing in have from a peer and returns the number of
// objects applied.
func (s *Syncer) fetch(ctx context.Context, peer ownership.Instance, have []*wire.ObjectVersion) int {
	callCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	s.vars.Add("fetched", 1)
	resp, err := s.cfg.Clients.Peer(peer.Address).FetchObjects(callCtx, &wire.FetchObjectsRequest{Have: have})
	if err != nil {
		s.log.Debug().Err(err).Str("peer", peer.Name).Msg("Fetch failed.")
		return 0
	}
	return len(s.applyAndPush(ctx, fromWire(resp.GetObjects()), peer.Name))
}

// FetchObjects implements wire.Peer. It returns the objects that the caller lacks,
// lowest versions first, up to maxFetchBytes of data.
func (s *Syncer) FetchObjects(_ context.Context, req *wire.FetchObjectsRequest) (*wire.FetchObjectsResponse, error) {
	missing := s.missing(req.GetHave())
	slices.SortFunc(missing, func(a, b platform.Object) int { return cmp.Compare(a.Version, b.Version) })
	size := 0
	for i, o := range missing {
		size += len(o.Data)
		if i > 0 && size > maxFetchBytes {
			missing = missing[:i]
			break
		}
	}
	return &wire.FetchObjectsResponse{Objects: toWire(missing)}, nil
}

// missing returns the objects of this instance that are not listed in have, or are
// listed there with a lower version.
func (s *Syncer) missing(have []*wire.ObjectVersion) []platform.Object {
	if len(have) == 1 && have[0].GetKind() == "" && have[0].GetName() == "" {
		return s.cfg.Directory.ObjectsNewerThan(have[0].GetVersion())
	}
	type key struct{ kind, name string }
	held := make(map[key]uint64, len(have))
	for _, v := range have {
		held[key{v.GetKind(), v.GetName()}] = v.GetVersion()
	}
	return slices.DeleteFunc(s.cfg.Directory.Objects(), func(o platform.Object) bool {
		return held[key{o.Kind, o.Name}] >= o.Version
	})
}
