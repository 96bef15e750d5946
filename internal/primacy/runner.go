package primacy

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"geraniumbeam/internal/ownership"
)

// Config holds what a Runner needs. All fields are required.
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
	Now         func() time.Duration // counts suspension
	Log         zerolog.Logger
	// OnStoreUnavailable is called when a question to the store fails, and OnRevision
	// with the store's revision when one is answered.
	OnStoreUnavailable func()
	OnRevision         func(revision uint64)
}

// Runner keeps an instance's beliefs fresh, votes on failed primaries and
// replaces them.
type Runner struct {
	cfg Config
	log zerolog.Logger

	mu              sync.Mutex
	reg             Registration
	published       publishedState
	reregistrations int // registrations of this process under new incarnations
	dirty           chan struct{}
	checking        map[string]bool          // replacements that this instance carries out
	recordSeenAt    map[string]time.Duration // when the current record of a service was seen first
	instanceCount   int
	// failedRounds counts the rounds of questions since one was answered.
	failedRounds   int
	relays         []ownership.Instance    // nil: this instance asks the store
	knownInstances []Registration          // as last counted
	ownersCache    map[string]cachedOwners // by database; of the known instances
	lastAnswer     storeAnswer
}

// publishedState is what the store has of this instance's registration.
type publishedState struct {
	incarnation string
	validity    time.Duration
}

// NewRunner returns a runner; Run starts it.
func NewRunner(cfg Config) *Runner {
	return &Runner{
		cfg: cfg,
		log: cfg.Log,
		reg: Registration{
			Instance: cfg.Instance, Incarnation: cfg.Incarnation, Validity: InitialValidity,
			DataCentre: cfg.DataCentre, Address: cfg.Address,
			Stopped: make(map[string]uint64), Suspects: make(map[string]uint64),
		},
		dirty:        make(chan struct{}, 1),
		checking:     make(map[string]bool),
		recordSeenAt: make(map[string]time.Duration),
		ownersCache:  make(map[string]cachedOwners),
	}
}

// Run works until ctx ends. Unregister removes the registration afterwards.
func (r *Runner) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	for _, part := range []func(context.Context){r.publishLoop, r.renewLoop, r.watchLoop, r.failoverLoop, r.instancesLoop} {
		wg.Go(func() { part(ctx) })
	}
	wg.Wait()
	return ctx.Err()
}

// Instances returns how many instances are registered, as last seen; 0 if that
// is not known yet.
func (r *Runner) Instances() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.instanceCount
}

// Unregister removes the registration of an instance that uses no primary any
// more.
func (r *Runner) Unregister(ctx context.Context) {
	if err := r.cfg.Store.Unregister(ctx, r.cfg.Instance); err != nil {
		r.log.Warn().Err(err).Msg("The registration was not removed.")
	}
}

func (r *Runner) incarnation() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reg.Incarnation
}
