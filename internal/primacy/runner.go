package primacy

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"geraniumbeam/internal/contain"
	"geraniumbeam/internal/distance"
)

// Config holds the dependencies of a Runner. All fields but Regions are required.
type Config struct {
	Instance    string
	DataCentre  string
	Address     string // where peers reach this instance
	Peers       Peers
	Incarnation string
	Store       Store
	Databases   Databases
	Promotions  Promotions
	Cache       *RecordCache
	Services    func() []string
	Now         func() time.Duration // includes time spent suspended
	Log         zerolog.Logger
	Listings    Listings
	Regions     distance.Regions // nil in a deployment of one region
	// OnStoreUnavailable is called when a renewal request to the store fails.
	OnStoreUnavailable func()
}

// Runner keeps an instance's record cache up to date, takes part in votes on
// failed primaries and replaces primaries.
type Runner struct {
	cfg Config
	log zerolog.Logger

	retirement retirement

	mu              sync.Mutex
	reg             Registration
	published       publishedState
	reregistrations int // how often this process registered under a new incarnation after an exclusion
	dirty           chan struct{}
	countDelays     map[string]time.Duration // by service; since the latest vote without a quorum
	checking        map[string]bool          // services whose check or replacement is in progress
	recordSeenAt    map[string]time.Duration // by service; when the current record was first seen
	lossReports     map[string]time.Duration // by service; when the loss of the primary was last logged
	reachQueries    map[string]bool          // services whose primary another instance asked about
	probedAt        map[string]time.Duration // by service; when its primary was last probed for that reason
	instanceCount   int
	// failedRounds is the number of consecutive renewal rounds that confirmed
	// nothing.
	failedRounds   int
	upstreams      upstreams
	substitution   substitution
	roleKnown      bool                    // the upstreams are known
	roleChanged    chan struct{}           // closed when the upstreams change
	knownInstances []Registration          // from the latest list
	ownersCache    map[string]cachedOwners // by database; computed from knownInstances
	state          storeState
	// lastSnapshot identifies the latest snapshot of an upstream whose records are
	// in the cache, and snapshotRecords are these.
	lastSnapshot    SnapshotQuery
	snapshotRecords []Record
	era             knownEra
	unestablished   map[string]bool // services whose record the restored store has lost or has from an earlier era
	fetchingListing bool            // a listing is being fetched on its own
	relist          chan struct{}   // makes instancesLoop list the instances
	// askStore is set while the records must be confirmed by the store itself,
	// because the snapshots of others may date from before the registration.
	askStore bool
}

// publishedState is the part of this instance's registration that the store has
// accepted.
type publishedState struct {
	incarnation string
	validity    time.Duration
	suspects    map[string]uint64
	era         uint64 // of the store
}

// NewRunner returns a runner. Call Run to start it.
func NewRunner(cfg Config) *Runner {
	return &Runner{
		cfg: cfg,
		log: cfg.Log,
		reg: Registration{
			Instance: cfg.Instance, Incarnation: cfg.Incarnation, Validity: InitialValidity,
			DataCentre: cfg.DataCentre, Address: cfg.Address,
			Stopped: make(map[string]uint64), Suspects: make(map[string]uint64),
		},
		dirty:         make(chan struct{}, 1),
		countDelays:   make(map[string]time.Duration),
		checking:      make(map[string]bool),
		recordSeenAt:  make(map[string]time.Duration),
		lossReports:   make(map[string]time.Duration),
		reachQueries:  make(map[string]bool),
		probedAt:      make(map[string]time.Duration),
		ownersCache:   make(map[string]cachedOwners),
		roleChanged:   make(chan struct{}),
		unestablished: make(map[string]bool),
		relist:        make(chan struct{}, 1),
		state:         storeState{changed: make(chan struct{})},
	}
}

// Run works until ctx ends. Call Unregister afterwards to remove the
// registration.
func (r *Runner) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	for name, loop := range map[string]func(context.Context){
		"registration": r.publishLoop, "renewal": r.renewLoop, "watch": r.watchLoop, "failover": r.failoverLoop, "instances": r.instancesLoop,
	} {
		wg.Go(func() { contain.Loop(ctx, r.log, name, loop) })
	}
	wg.Wait()
	return ctx.Err()
}

// Instances returns the number of registered instances in the latest list, or 0
// before the first list.
func (r *Runner) Instances() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.instanceCount
}

// RegisteredEra returns the era of the store in which this instance is registered. It
// reports false if it is not registered in the present one.
func (r *Runner) RegisteredEra() (uint64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.published.era, r.published.incarnation != "" && r.era.known && r.published.era == r.era.number
}

// EraAge returns for how long the present era of the store has been known.
func (r *Runner) EraAge() time.Duration { return r.eraAge() }

// KnownInstances returns the registrations in the latest list, which may be
// instancesInterval old. Callers must not modify them.
func (r *Runner) KnownInstances() []Registration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.knownInstances
}

func (r *Runner) incarnation() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reg.Incarnation
}
