package primacy

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"geraniumbeam/internal/ownership"
	"geraniumbeam/internal/statement"
)

const (
	// renewPeriod is the pause between two questions that confirm the records.
	renewPeriod = 400 * time.Millisecond
	// directValidity is how long what a question showed may be used, counted
	// from when it was sent. It covers a renewal that fails and the questions
	// to databases that replace it.
	directValidity = 1500 * time.Millisecond
	// relayedValidity covers the age of what a relay knows as well.
	relayedValidity = 2200 * time.Millisecond
	// awayPeriod is the pause while the store does not answer. With renewTimeout
	// it leaves room for a round that fails within the validity.
	awayPeriod = 250 * time.Millisecond
	// renewTimeout bounds a question. The store answers within 300 ms when it
	// is slow.
	renewTimeout = 400 * time.Millisecond
	// storeTimeout bounds other calls to the store.
	storeTimeout = 1 * time.Second
	// watchWait is how long a watch waits for a change. A connection that went
	// silent is noticed after this time and watchSlack.
	watchWait  = 15 * time.Second
	watchSlack = 1 * time.Second
	// tick is the period of the checks for a failed primary.
	tick = 100 * time.Millisecond
	// rankPause separates instances that could begin the same replacement.
	rankPause = 120 * time.Millisecond
	// plannedRankPause does so for a primary that still works.
	plannedRankPause = 400 * time.Millisecond
	// probeTimeout bounds the question to a primary that seems not to answer.
	// A database that is five times slower than usual and has work for all
	// connections answers others meanwhile, which ends the suspicion.
	probeTimeout = 250 * time.Millisecond
	// quorumPause is the pause after a vote that found no quorum.
	quorumPause = 150 * time.Millisecond
	// bootstrapSpread separates instances that could record the same primary.
	bootstrapSpread = 600 * time.Millisecond
	// takeoverAfter is how long a replacement may stand still before another
	// instance takes it over. It is above the time that a promoter may wait.
	takeoverAfter = relayedValidity + validityMargin + leadTime
	// leadTime is what a replacement may take besides the wait for the validity
	// of the instances' knowledge: control commands, the promotion and the wait
	// for the promoted database to lead.
	leadTime = 3 * time.Second
	// ownRetry is the pause before an instance repeats its own failed attempt.
	ownRetry = 700 * time.Millisecond
	// maxBackoff bounds the pause between calls to a store that does not answer.
	maxBackoff = 1 * time.Second
	// replaceLimit bounds one replacement.
	replaceLimit = 15 * time.Second
)

// validity is how long this instance uses what it knows.
func validityOf(relayed bool) time.Duration {
	if relayed {
		return relayedValidity
	}
	return directValidity
}

// InitialValidity is the validity before other instances are known.
const InitialValidity = directValidity

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
	Beliefs     *Beliefs
	Services    func() []string
	Now         func() time.Duration // counts suspension
	Log         zerolog.Logger
	// OnStoreAway is called when a question to the store fails, and OnRevision
	// with the store's revision when one is answered.
	OnStoreAway func()
	OnRevision  func(revision uint64)
}

// Runner keeps an instance's beliefs fresh, votes on failed primaries and
// replaces them.
type Runner struct {
	cfg Config
	log zerolog.Logger

	mu        sync.Mutex
	reg       Registration
	published publication
	lives     int // registrations of this process under new incarnations
	dirty     chan struct{}
	running   map[string]bool          // replacements that this instance carries out
	seenAt    map[string]time.Duration // when the current record of a service was seen first
	suspectAt map[string]time.Duration
	instances int
	// failedRounds counts the rounds of questions since one was answered.
	failedRounds int
	relays       []ownership.Instance // nil: this instance asks the store
	lastSeen     seen
}

// publication is what the store has of this instance's registration.
type publication struct {
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
		dirty:     make(chan struct{}, 1),
		running:   make(map[string]bool),
		seenAt:    make(map[string]time.Duration),
		suspectAt: make(map[string]time.Duration),
	}
}

// Run works until ctx ends. A registration is removed at the end.
func (r *Runner) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	for _, part := range []func(context.Context){r.publishLoop, r.renewLoop, r.watchLoop, r.failoverLoop, r.countLoop} {
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
	return r.instances
}

// Withdraw removes the registration of an instance that uses no primary any
// more.
func (r *Runner) Withdraw(ctx context.Context) {
	if err := r.cfg.Store.Unregister(ctx, r.cfg.Instance); err != nil {
		r.log.Warn().Err(err).Msg("The registration was not removed.")
	}
}

func (r *Runner) incarnation() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reg.Incarnation
}

// publishLoop writes this instance's registration whenever it changed. Beliefs
// are confirmed only after the first success, so that a promoter knows of every
// instance that uses a primary.
func (r *Runner) publishLoop(ctx context.Context) {
	r.markDirty()
	for {
		select {
		case <-r.dirty:
		case <-ctx.Done():
			return
		}
		for r.publish(ctx) != nil {
			if pause(ctx, storePause) != nil {
				return
			}
		}
	}
}

func (r *Runner) publish(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	r.mu.Lock()
	reg := r.reg
	reg.Stopped, reg.Suspects = maps.Clone(reg.Stopped), maps.Clone(reg.Suspects)
	r.mu.Unlock()
	// A shorter validity is in force before it is published, a longer one after.
	if reg.Validity < r.published.validity {
		r.cfg.Beliefs.SetValidity(reg.Validity)
	}
	stored, err := r.cfg.Store.Register(ctx, reg)
	if err != nil {
		r.log.Warn().Err(err).Msg("The registration was not written.")
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reg.Revision = stored.Revision
	r.cfg.Beliefs.SetValidity(stored.Validity)
	known := r.published.incarnation
	r.published = publication{stored.Incarnation, stored.Validity}
	if known != stored.Incarnation {
		r.cfg.Beliefs.Reincarnate(stored.Incarnation)
	}
	return nil
}

func (r *Runner) markDirty() {
	select {
	case r.dirty <- struct{}{}:
	default:
	}
}

func (r *Runner) isRegistered() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.published.incarnation != ""
}

// renewLoop confirms the records from the store, or else from databases.
func (r *Runner) renewLoop(ctx context.Context) {
	for {
		wait := renewPeriod
		if !r.isRegistered() {
			wait = tick / 5
		} else if err := r.renew(ctx); err == nil {
			r.noteRound(true)
		} else {
			r.cfg.OnStoreAway()
			r.noteRound(r.renewFromDatabases(ctx))
			wait = awayPeriod
		}
		if pause(ctx, wait) != nil {
			return
		}
	}
}

func (r *Runner) renew(ctx context.Context) error {
	if r.renewFromRelays(ctx) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	asked := r.cfg.Now()
	records, at, err := r.cfg.Store.Records(ctx)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.lastSeen = seen{records, at, asked}
	r.mu.Unlock()
	r.confirm(records, at, asked)
	return nil
}

// renewFromDatabases extends the knowledge of each service whose primary and
// enough other databases answer, of which none was raised above the record's
// term. It reports whether that was so for any.
func (r *Runner) renewFromDatabases(ctx context.Context) bool {
	var (
		extended atomic.Bool
		wg       sync.WaitGroup
	)
	for _, service := range r.cfg.Services() {
		if rec, _, ok := r.cfg.Beliefs.Record(service); ok && rec.Phase == Serving {
			wg.Go(func() {
				if r.extend(ctx, rec) {
					extended.Store(true)
				}
			})
		}
	}
	wg.Wait()
	return extended.Load()
}

// extend asks the databases of one service.
func (r *Runner) extend(ctx context.Context, rec Record) bool {
	asked := r.cfg.Now()
	others := r.others(rec)
	answered := r.ask(ctx, rec, func(Member) (statement.Command, bool) {
		return statement.Command{Op: statement.OpStatus}, true
	})
	if Raised(rec, answered) {
		r.log.Info().Str("service", rec.Service).Uint64("token", rec.Token).Msg("A database was raised; the primary is not used any more.")
		r.cfg.Beliefs.Deny(rec.Service, rec.Token)
		return false
	}
	if !Extends(rec, answered, others) {
		return false
	}
	r.cfg.Beliefs.Extend(rec.Service, rec.Token, asked)
	return true
}

// others counts the databases of a service besides the recorded primary.
func (r *Runner) others(rec Record) int {
	n := 0
	for _, m := range r.cfg.Databases.Members(rec.Service) {
		if m.ID != rec.Primary {
			n++
		}
	}
	return n
}

// noteRound notes whether a round of questions confirmed anything.
func (r *Runner) noteRound(confirmed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	was := r.failedRounds >= isolatedAfter
	if confirmed {
		r.failedRounds = 0
	} else {
		r.failedRounds++
	}
	if is := r.failedRounds >= isolatedAfter; is != was {
		r.log.Warn().Bool("isolated", is).Int("failed_rounds", r.failedRounds).Msg("The reach of store and databases changed.")
	}
}

// isolatedAfter is the number of rounds without an answer from the store or
// from a complete set of databases after which an instance counts as isolated.
// One round takes 0.8 s, and the balancer wants two misses a second apart.
const isolatedAfter = 1

// Isolated reports that this instance reaches neither the store nor the
// databases of any service, so that it can serve almost nothing.
func (r *Runner) Isolated() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failedRounds >= isolatedAfter
}

// watchLoop learns of changed records at once.
func (r *Runner) watchLoop(ctx context.Context) {
	backoff := storePause
	for ctx.Err() == nil {
		if err := r.watch(ctx); err != nil && ctx.Err() == nil {
			r.log.Warn().Err(err).Msg("The watch of the records ended.")
			_ = pause(ctx, backoff) // the loop's condition looks at the context
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = storePause
	}
}

func (r *Runner) watch(ctx context.Context) error {
	lctx, cancel := context.WithTimeout(ctx, storeTimeout)
	records, at, err := r.cfg.Store.Records(lctx)
	cancel()
	if err != nil {
		return err
	}
	for _, rec := range records {
		r.adopt(ctx, rec, "listed")
	}
	for ctx.Err() == nil {
		wctx, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
		records, at, err = r.cfg.Store.WatchRecords(wctx, at, watchWait)
		cancel()
		if err != nil {
			return err
		}
		for _, rec := range records {
			r.adopt(ctx, rec, "watched")
		}
	}
	return nil
}

func (r *Runner) adopt(_ context.Context, rec Record, how string) {
	if r.cfg.Beliefs.Adopt(rec) {
		r.adopted(rec, how)
	}
}

// adopted reacts to a record that is new to this instance. The beliefs deny the
// former primary already when it is called, so the confirmation is true.
func (r *Runner) adopted(rec Record, how string) {
	r.log.Info().Str("service", rec.Service).Uint64("token", rec.Token).Str("phase", string(rec.Phase)).
		Str("primary", rec.Primary).Uint64("term", rec.Term).Uint64("revision", rec.Revision).Str("how", how).
		Str("promoter", rec.Promoter).Str("candidate", rec.Candidate).Msg("The record of a service changed.")
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seenAt[rec.Service] = r.cfg.Now()
	if rec.Phase == Replacing && r.reg.Stopped[rec.Service] < rec.Token {
		r.reg.Stopped[rec.Service] = rec.Token
		r.markDirty()
	}
	if slices.Contains(rec.Excluded, r.reg.Incarnation) {
		r.lives++
		r.reg.Incarnation = r.cfg.Incarnation + "+" + strconv.Itoa(r.lives)
		r.markDirty()
	}
}

const (
	// countPeriod is the pause between two counts of the instances, and
	// firstCount the one before the second count: all instances of a new
	// deployment register within a second. After a restart of all, the first
	// count finds the registrations of their former lives.
	countPeriod = 10 * time.Second
	firstCount  = 1500 * time.Millisecond
)

// countLoop keeps the number of instances, which shares out connections, and
// the relays.
func (r *Runner) countLoop(ctx context.Context) {
	waits := []time.Duration{0, firstCount}
	for wait := time.Duration(0); pause(ctx, wait) == nil; {
		cctx, cancel := context.WithTimeout(ctx, storeTimeout)
		registered, err := r.cfg.Store.KnownInstances(cctx)
		cancel()
		wait = countPeriod
		if len(waits) > 1 {
			waits = waits[1:]
			wait = waits[0]
		}
		if err != nil {
			wait = maxBackoff
			continue
		}
		r.mu.Lock()
		r.instances = max(1, len(registered))
		r.relays = Relays(registered, r.cfg.Instance, r.cfg.DataCentre)
		if v := validityOf(r.relays != nil); v != r.reg.Validity {
			r.reg.Validity = v
			r.markDirty()
		}
		r.mu.Unlock()
	}
}

// failoverLoop looks for primaries that failed, leave or were never recorded,
// and for replacements that stand still.
func (r *Runner) failoverLoop(ctx context.Context) {
	for pause(ctx, tick) == nil {
		if !r.isRegistered() {
			continue
		}
		for _, service := range r.cfg.Services() {
			r.mu.Lock()
			busy := r.running[service]
			r.running[service] = true
			r.mu.Unlock()
			if busy {
				continue
			}
			go func() {
				r.check(ctx, service)
				r.mu.Lock()
				defer r.mu.Unlock()
				r.running[service] = false
			}()
		}
	}
}

func (r *Runner) check(ctx context.Context, service string) {
	ctx, cancel := context.WithTimeout(ctx, replaceLimit)
	defer cancel()
	rec, confirmed, ok := r.cfg.Beliefs.Record(service)
	switch {
	case !ok:
		r.bootstrap(ctx, service)
	case r.cfg.Now()-confirmed > relayedValidity:
		// The store is away, so nothing can be agreed.
	case rec.Phase == Replacing:
		r.takeOver(ctx, rec)
	case r.leaving(rec):
		r.replacePlanned(ctx, rec)
	default:
		r.replaceFailed(ctx, rec)
	}
}

// bootstrap records the primary that a service started with.
func (r *Runner) bootstrap(ctx context.Context, service string) {
	// All instances of a new deployment start together; the first to get here
	// records the primary for all.
	if pause(ctx, rand.N(bootstrapSpread)) != nil {
		return
	}
	if _, _, known := r.cfg.Beliefs.Record(service); known {
		return
	}
	for _, m := range r.cfg.Databases.Members(service) {
		if !m.Primary {
			continue
		}
		s, err := r.cfg.Databases.Status(ctx, service, m.ID, controlTimeout)
		if err != nil || !s.Primary {
			continue
		}
		rec, err := r.cfg.Store.CreateRecord(ctx, Record{Service: service, Token: 1, Phase: Serving, Primary: m.ID, Term: s.Term})
		if err == nil {
			r.adopt(ctx, rec, "created")
		}
		return // if it exists by now, the next renewal shows it
	}
}

func (r *Runner) member(rec Record) (Member, bool) {
	for _, m := range r.cfg.Databases.Members(rec.Service) {
		if m.ID == rec.Primary {
			return m, true
		}
	}
	return Member{}, false
}

// leaving reports that the primary is leaving and another database stays.
func (r *Runner) leaving(rec Record) bool {
	m, ok := r.member(rec)
	if !ok || !m.Leaving {
		return false
	}
	return slices.ContainsFunc(r.cfg.Databases.Members(rec.Service), func(m Member) bool {
		return m.ID != rec.Primary && !m.Leaving
	})
}

func (r *Runner) replacePlanned(ctx context.Context, rec Record) {
	registered, err := r.cfg.Store.Registrations(ctx)
	if err != nil {
		return
	}
	r.compete(ctx, rec, registered, plannedRankPause, true)
}

// replaceFailed votes on a primary that does not answer and replaces it when
// enough instances agree.
func (r *Runner) replaceFailed(ctx context.Context, rec Record) {
	if !r.suspects(ctx, rec) {
		r.clearSuspicion(rec.Service)
		return
	}
	r.mu.Lock()
	if t, ok := r.reg.Suspects[rec.Service]; !ok || t != rec.Token {
		r.reg.Suspects[rec.Service] = rec.Token
		r.markDirty()
		r.log.Warn().Str("service", rec.Service).Str("database", rec.Primary).Uint64("token", rec.Token).Msg("The primary does not answer this instance.")
	}
	r.mu.Unlock()
	registered, err := r.cfg.Store.Registrations(ctx)
	if err != nil || !Quorum(registered, rec.Excluded, rec.Service, rec.Token) {
		_ = pause(ctx, quorumPause) // the next check looks at the context
		return
	}
	r.compete(ctx, rec, registered, rankPause, false)
}

func (r *Runner) clearSuspicion(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.reg.Suspects[service]; ok {
		delete(r.reg.Suspects, service)
		r.markDirty()
		r.log.Info().Str("service", service).Msg("The primary answers this instance again.")
	}
}

// suspects reports whether the primary has left this instance's questions
// without an answer.
func (r *Runner) suspects(ctx context.Context, rec Record) bool {
	if _, ok := r.member(rec); !ok {
		return true
	}
	since, troubled := r.cfg.Databases.Troubled(rec.Service, rec.Primary)
	if !troubled || r.cfg.Now()-since < suspectAfter {
		return false
	}
	_, err := r.cfg.Databases.Status(ctx, rec.Service, rec.Primary, probeTimeout)
	if err == nil {
		return false
	}
	_, troubled = r.cfg.Databases.Troubled(rec.Service, rec.Primary)
	return troubled
}

// compete waits for this instance's turn among the registered ones and begins
// the replacement unless somebody else did.
func (r *Runner) compete(ctx context.Context, rec Record, registered []Registration, rank time.Duration, planned bool) {
	var instances []ownership.Instance
	for _, reg := range registered {
		if !planned && reg.Suspects[rec.Service] != rec.Token {
			continue
		}
		instances = append(instances, ownership.Instance{Name: reg.Instance})
	}
	order := ownership.Order(rec.Service, instances)
	place := max(0, slices.IndexFunc(order, func(i ownership.Instance) bool { return i.Name == r.cfg.Instance }))
	if pause(ctx, time.Duration(place)*rank) != nil {
		return
	}
	if now, _, _ := r.cfg.Beliefs.Record(rec.Service); now.Revision != rec.Revision {
		return
	}
	r.carryOut(ctx, rec, planned)
}

// takeOver continues a replacement that stands still.
func (r *Runner) takeOver(ctx context.Context, rec Record) {
	r.mu.Lock()
	age := r.cfg.Now() - r.seenAt[rec.Service]
	r.mu.Unlock()
	limit := takeoverAfter
	if rec.Promoter == r.incarnation() {
		limit = ownRetry // its own attempt failed
	}
	if age < limit {
		return
	}
	registered, err := r.cfg.Store.Registrations(ctx)
	if err != nil {
		return
	}
	r.compete(ctx, rec, registered, rankPause, true)
}

func (r *Runner) carryOut(ctx context.Context, rec Record, planned bool) {
	held, err := r.begin(ctx, rec, planned && rec.Phase == Serving)
	if err == nil {
		err = r.replace(ctx, held)
	}
	if err != nil && !errors.Is(err, errLost) {
		r.log.Warn().Str("service", rec.Service).Uint64("token", rec.Token+1).Err(err).Msg("The primary was not replaced.")
	}
}
