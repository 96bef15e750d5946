package hosted

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Commit is an entry of a database's log.
type Commit struct {
	Term uint64
	ID   string // id of the caller's request
	Item string
	Data string
}

// Run is the execution of one statement.
type Run struct {
	At         time.Time
	Database   string
	Connection uint64
	OpenedBy   string // second word of the START line of the connection: an instance or an organisation
	ID         string
	Text       string
	BeginID    string            // id of the BEGIN request, if the statement ran in a transaction
	Log        []Commit          // log at the time of execution
	Committed  []Commit          // commits that the statement appended
	Variables  map[string]string // session variables of the connection
	Superseded bool              // another database had been promoted to a higher term
}

// GroupConfig configures a Group.
type GroupConfig struct {
	Service        string
	Databases      int
	Slots          int
	MaxConnections int
	// AdvertisedAddress returns the address under which a database is registered,
	// given its id and the one at which it listens. Nil: they are the same.
	AdvertisedAddress func(id, address string) string
	ReplicationLag    time.Duration // delay before a replica receives new entries
	ServiceTime       time.Duration // time that a statement occupies a slot
	PromotionDelay    time.Duration // time from the promotion call to the promotion
}

// Group is a service's databases. It is safe for concurrent use.
type Group struct {
	cfg   GroupConfig
	store *Store

	mu             sync.Mutex
	members        []*Database
	runs           []Run
	term           uint64
	lastConnection uint64
	promotions     []PromotionCall

	organisationOf   func(id string) (string, bool) // of a request; nil: not checked
	wrongConnections []string
}

// PromotionCall is a call that asks for the promotion of a database.
type PromotionCall struct {
	Database string
	Holder   string // the instance that calls
	Token    uint64
}

// PromotionCalls returns the calls so far that named databases of the group.
func (g *Group) PromotionCalls() []PromotionCall {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]PromotionCall(nil), g.promotions...)
}

// recordPromotion notes a call if it names a database of the group.
func (g *Group) recordPromotion(c PromotionCall) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.promotions = append(g.promotions, c)
}

// NewGroup starts a group whose first database is the primary, and registers its
// databases.
func NewGroup(cfg GroupConfig, store *Store) (*Group, error) {
	g := &Group{cfg: cfg, store: store, term: 1}
	for i := range cfg.Databases {
		d := &Database{
			group: g, id: fmt.Sprintf("%s-db-%d", cfg.Service, i), zone: fmt.Sprintf("z%d", i), term: 1, primary: i == 0,
			slots: make(chan struct{}, cfg.Slots), conns: make(map[net.Conn]string), unresponsiveTo: make(map[string]bool),
			startMillis: time.Now().UnixMilli(),
		}
		if err := d.listen(); err != nil {
			return nil, err
		}
		g.members = append(g.members, d)
	}
	for _, d := range g.members {
		d.register("ready")
	}
	return g, nil
}

func (g *Group) Members() []*Database { return g.members }

// Runs returns the executions of statements so far.
func (g *Group) Runs() []Run {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Run(nil), g.runs...)
}

// Primary returns the primary of the highest term.
func (g *Group) Primary() *Database {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.currentPrimary()
}

// currentPrimary returns the primary of the highest term, or nil. g.mu is held.
func (g *Group) currentPrimary() *Database {
	var best *Database
	for _, d := range g.members {
		if d.primary && (best == nil || d.term > best.term) {
			best = d
		}
	}
	return best
}

// Log returns the log of the primary of the highest term.
func (g *Group) Log() []Commit {
	g.mu.Lock()
	defer g.mu.Unlock()
	if primary := g.currentPrimary(); primary != nil {
		return primary.log
	}
	return nil
}

// replicate copies the primary's log to the replicas after the replication lag.
// g.mu is held.
func (g *Group) replicate() {
	for _, d := range g.members {
		if d.primary {
			continue
		}
		time.AfterFunc(g.cfg.ReplicationLag, func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			primary := g.currentPrimary()
			if primary == nil || d.primary || d.paused || d.lagging || d.crashed || primary.crashed || primary.partitioned || d.partitioned {
				return
			}
			d.log, d.term = primary.log, primary.term
		})
	}
}

// Promote makes a database the primary of the next term after the promotion delay.
// It reports false if the database is unknown or crashed.
func (g *Group) Promote(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, d := range g.members {
		if d.id != id {
			continue
		}
		if d.crashed {
			return false
		}
		if d.primary && d.term == g.term {
			return true
		}
		time.AfterFunc(g.cfg.PromotionDelay, func() { g.promote(d) })
		return true
	}
	return false
}

// stepDownDelay is how long a former primary still accepts writes after it can
// reach the new one.
const stepDownDelay = time.Second

// promote makes d the primary of the next term and later demotes the former one,
// unless that is partitioned.
func (g *Group) promote(d *Database) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if d.crashed || (d.primary && d.term == g.term) {
		return
	}
	g.term++
	d.primary, d.term, d.heldTerm, d.paused = true, g.term, 0, false
	d.registerRoleChange()
	for _, former := range g.members {
		if former != d && former.primary {
			time.AfterFunc(stepDownDelay, func() {
				g.mu.Lock()
				defer g.mu.Unlock()
				if !former.partitioned && former.primary && former.term < g.term {
					former.becomeReplica()
				}
			})
		}
	}
	g.replicate()
}

// record appends a run. g.mu is held.
func (g *Group) record(r Run) { g.runs = append(g.runs, r) }

// ListenPromotions serves the promotion call for the groups on a new loopback
// address. It returns the address and a function that stops the server.
func ListenPromotions(groups ...*Group) (string, func(), error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			Service string `json:"service"`
			ID      string `json:"id"`
		}
		token, tokenErr := strconv.ParseUint(r.Header.Get("X-Geraniumbeam-Fencing-Token"), 10, 64)
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil || tokenErr != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		for _, g := range groups {
			if g.cfg.Service != body.Service {
				continue
			}
			g.recordPromotion(PromotionCall{body.ID, r.Header.Get("X-Geraniumbeam-Lease-Holder"), token})
			if g.Promote(body.ID) {
				return
			}
		}
		w.WriteHeader(http.StatusConflict)
	})}
	go func() { _ = srv.Serve(l) }() // returns after Close
	return l.Addr().String(), func() { _ = srv.Close() }, nil
}
