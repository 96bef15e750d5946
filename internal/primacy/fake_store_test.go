package primacy

import (
	"context"
	"errors"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"geraniumbeam/internal/revision"
)

// fakeStore keeps records and registrations in memory. The hooks before and after
// run before and after an update takes effect; an error that they return becomes
// the result of the update.
type fakeStore struct {
	mu          sync.Mutex
	revision    uint64
	era         uint64
	records     map[string]Record
	lists       int // linearizable lists of the registrations
	regs        map[string]Registration
	changed     chan struct{}
	unavailable bool
	// loseRemoval makes the store answer no removal of a registration and carry it out
	// when carryOutLate is called.
	loseRemoval  bool
	lateRemovals []removal
	before       func(Record) error
	after        func(Record) error
}

var errStoreDown = errors.New("the store is down")

func newFakeStore() *fakeStore {
	return &fakeStore{records: map[string]Record{}, regs: map[string]Registration{}, changed: make(chan struct{})}
}

func (f *fakeStore) put(r Record) Record { return f.putInEra(f.era, r) }

// putInEra stores a record that was written in the given era.
func (f *fakeStore) putInEra(era uint64, r Record) Record {
	f.revision++
	r.Revision = revision.Revision{Era: era, Number: f.revision}
	f.records[r.Service] = r
	close(f.changed)
	f.changed = make(chan struct{})
	return r
}

func (f *fakeStore) Records(context.Context) ([]Record, revision.Revision, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable {
		return nil, revision.Revision{}, errStoreDown
	}
	var all []Record
	for _, r := range f.records {
		all = append(all, r)
	}
	return all, revision.Revision{Era: f.era, Number: f.revision}, nil
}

func (f *fakeStore) WatchRecords(ctx context.Context, after revision.Revision, _ time.Duration) ([]Record, revision.Revision, error) {
	for {
		f.mu.Lock()
		changed, at := f.changed, revision.Revision{Era: f.era, Number: f.revision}
		f.mu.Unlock()
		if after.Era != at.Era {
			return nil, after, ErrRestored
		}
		if after.Before(at) {
			return f.Records(ctx)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, after, ctx.Err()
		}
	}
}

func (f *fakeStore) CreateRecord(_ context.Context, era uint64, r Record) (Record, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.records[r.Service]; ok {
		return Record{}, ErrConflict
	}
	return f.write(era, r)
}

// write stores a record. As with the real store, one of an earlier era takes effect
// although its writer is told that the store was restored. f.mu is held.
func (f *fakeStore) write(era uint64, r Record) (Record, error) {
	stored := f.putInEra(era, r)
	if era < f.era {
		return Record{}, ErrRestored
	}
	return stored, nil
}

// backup is a copy of a fakeStore.
type backup struct {
	revision uint64
	records  map[string]Record
	regs     map[string]Registration
}

func (f *fakeStore) backup() backup {
	f.mu.Lock()
	defer f.mu.Unlock()
	return backup{f.revision, maps.Clone(f.records), maps.Clone(f.regs)}
}

// restore brings the store back to a backup in the next era.
func (f *fakeStore) restore(b backup) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.era++
	f.revision, f.records, f.regs = b.revision, maps.Clone(b.records), maps.Clone(b.regs)
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakeStore) UpdateRecord(_ context.Context, era uint64, r Record) (Record, error) {
	f.mu.Lock()
	before, after := f.before, f.after
	f.mu.Unlock()
	if before != nil {
		if err := before(r); err != nil {
			return Record{}, err
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable {
		return Record{}, errStoreDown
	}
	if f.records[r.Service].Revision.Number != r.Revision.Number {
		return Record{}, ErrConflict
	}
	stored, err := f.write(era, r)
	if after != nil {
		if err := after(r); err != nil {
			return Record{}, err
		}
	}
	return stored, err
}

func (f *fakeStore) Registrations(context.Context) ([]Registration, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lists++
	return f.registrations()
}

func (f *fakeStore) registrations() ([]Registration, error) {
	if f.unavailable {
		return nil, errStoreDown
	}
	var all []Registration
	for _, r := range f.regs {
		r.Revision.Era = f.era // of the response
		all = append(all, r)
	}
	return all, nil
}

func (f *fakeStore) StaleRegistrations(context.Context) ([]Registration, revision.Revision, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	all, err := f.registrations()
	return all, revision.Revision{Era: f.era, Number: f.revision}, err
}

func (f *fakeStore) Register(_ context.Context, r Registration) (Registration, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable {
		return r, errStoreDown
	}
	f.revision++
	r.Revision = revision.Revision{Era: f.era, Number: f.revision}
	f.regs[r.Instance] = r
	return r, nil
}

func (f *fakeStore) Unregister(_ context.Context, instance string, at revision.Revision) (Registration, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch reg, ok := f.regs[instance]; {
	case !ok:
	case f.loseRemoval:
		f.lateRemovals = append(f.lateRemovals, removal{instance, at})
		return Registration{}, errStoreDown
	case reg.Revision != at:
		return reg, ErrConflict
	}
	delete(f.regs, instance)
	return Registration{}, nil
}

// removal is a removal of a registration that the store carries out later.
type removal struct {
	instance string
	at       revision.Revision
}

// carryOutLate carries out the removals whose response was lost, if their condition
// still holds.
func (f *fakeStore) carryOutLate() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, late := range f.lateRemovals {
		if f.regs[late.instance].Revision == late.at {
			delete(f.regs, late.instance)
		}
	}
	f.lateRemovals = nil
}

// lose removes a registration, as something else than its instance may.
func (f *fakeStore) lose(instance string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.regs, instance)
	f.revision++
}

func (f *fakeStore) registration(instance string) (Registration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	reg, ok := f.regs[instance]
	return reg, ok
}

func (f *fakeStore) record() Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.records["ledger"]
}

// storeView is the store as seen by one instance.
type storeView struct {
	*fakeStore
	refuses *atomic.Bool
}

func (v storeView) Records(ctx context.Context) ([]Record, revision.Revision, error) {
	if v.refuses.Load() {
		return nil, revision.Revision{}, errStoreDown
	}
	return v.fakeStore.Records(ctx)
}

func (v storeView) WatchRecords(ctx context.Context, after revision.Revision, wait time.Duration) ([]Record, revision.Revision, error) {
	records, at, err := v.fakeStore.WatchRecords(ctx, after, wait)
	if v.refuses.Load() {
		return nil, revision.Revision{}, errStoreDown
	}
	return records, at, err
}

func (v storeView) UpdateRecord(ctx context.Context, era uint64, r Record) (Record, error) {
	if v.refuses.Load() {
		return Record{}, errStoreDown
	}
	return v.fakeStore.UpdateRecord(ctx, era, r)
}

func (v storeView) Registrations(ctx context.Context) ([]Registration, error) {
	if v.refuses.Load() {
		return nil, errStoreDown
	}
	return v.fakeStore.Registrations(ctx)
}

func (v storeView) StaleRegistrations(ctx context.Context) ([]Registration, revision.Revision, error) {
	if v.refuses.Load() {
		return nil, revision.Revision{}, errStoreDown
	}
	return v.fakeStore.StaleRegistrations(ctx)
}

func (v storeView) Register(ctx context.Context, r Registration) (Registration, error) {
	if v.refuses.Load() {
		return r, errStoreDown
	}
	return v.fakeStore.Register(ctx, r)
}
