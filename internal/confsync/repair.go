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

// Limits of repair.
const (
	fetchTimeout  = 2 * time.Second
	maxFetchBytes = 16 << 20 // object data per answer
	// firstRepair and longestRepair bound the pause after a fetch that brought
	// nothing, such as when peers disagree on whether an object is valid.
	firstRepair   = 250 * time.Millisecond
	longestRepair = time.Minute
)

type peerDigest struct {
	peer            ownership.Instance
	digest, version uint64
}

// ObserveDigest takes the digest that a peer sent with gossip. It does not block.
func (s *Syncer) ObserveDigest(peer ownership.Instance, digest, version uint64) {
	own, ownVersion := s.cfg.Directory.Digest()
	if digest == own || version < ownVersion {
		return // the peer fetches from here if it lacks something
	}
	select {
	case s.observed <- peerDigest{peer, digest, version}:
	default: // a repair is in progress; the next gossip shows what is left
	}
}

// runRepair fetches from peers whose digest differs.
func (s *Syncer) runRepair(ctx context.Context) {
	r := repairState{}
	for {
		select {
		case p := <-s.observed:
			own, version := s.cfg.Directory.Digest()
			have, wanted := r.next(s.clock.Now(), p, own, version)
			if !wanted {
				continue
			}
			request := floor(version)
			if !have {
				request = s.have()
			}
			applied := s.fetch(ctx, p.peer, request)
			r.done(s.clock.Now(), applied > 0)
		case <-ctx.Done():
			return
		}
	}
}

// repairState decides what to fetch.
type repairState struct {
	after time.Time // no repair without progress before this time
	pause time.Duration
	full  bool // the next fetch compares all versions
}

// next tells whether to fetch from p, and whether versions above the own
// highest are enough.
func (r *repairState) next(now time.Time, p peerDigest, own, version uint64) (above, wanted bool) {
	if p.digest == own {
		*r = repairState{}
		return false, false
	}
	if p.version < version || now.Before(r.after) {
		return false, false
	}
	if p.version > version && !r.full {
		return true, true
	}
	if r.pause == 0 {
		// A push in progress shows the same picture: wait before comparing all.
		r.done(now, false)
		return false, false
	}
	return false, true
}

func (r *repairState) done(now time.Time, progress bool) {
	if progress {
		*r = repairState{}
		return
	}
	r.full = true
	r.pause = min(max(firstRepair, 2*r.pause), longestRepair)
	r.after = now.Add(r.pause)
}

// floor asks for all objects above a version: an entry without kind and name.
func floor(version uint64) []*wire.ObjectVersion { return []*wire.ObjectVersion{{Version: version}} }

func (s *Syncer) have() []*wire.ObjectVersion {
	objects := s.cfg.Directory.Objects()
	out := make([]*wire.ObjectVersion, len(objects))
	for i, o := range objects {
		out[i] = &wire.ObjectVersion{Kind: o.Kind, Name: o.Name, Version: o.Version}
	}
	return out
}

// fetch asks a peer and returns the number of objects applied.
func (s *Syncer) fetch(ctx context.Context, peer ownership.Instance, have []*wire.ObjectVersion) int {
	call, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	s.vars.Add("fetched", 1)
	resp, err := s.cfg.Clients.Peer(peer.Address).FetchObjects(call, &wire.FetchObjectsRequest{Have: have})
	if err != nil {
		s.log.Debug().Err(err).Str("peer", peer.Name).Msg("Fetch failed.")
		return 0
	}
	return len(s.take(ctx, fromWire(resp.GetObjects()), peer.Name))
}

// FetchObjects implements the method of wire.Peer. It returns the objects
// that the caller lacks, lowest versions first, up to maxFetchBytes of data.
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

func (s *Syncer) missing(have []*wire.ObjectVersion) []platform.Object {
	if len(have) == 1 && have[0].GetKind() == "" && have[0].GetName() == "" {
		return s.cfg.Directory.ObjectsAbove(have[0].GetVersion())
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
