package hosted

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Commit is an entry of a log.
type Commit struct {
	Term uint64
	ID   string // of the caller's request
	Item string
	Data string
}

// Run is one statement that a database ran.
type Run struct {
	At         time.Time
	Database   string
	Connection uint64
	ID         string
	Text       string
	BeginID    string            // id of the transaction's Begin, if it is in one
	Log        []Commit          // that the statement saw
	Committed  []Commit          // by this statement
	Variables  map[string]string // of the connection
	Superseded bool              // another database had been promoted
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
	ReplicationLag    time.Duration // of replicas
	ServiceTime       time.Duration // of a statement
	PromotionDelay    time.Duration // from the call to the lead
}

// Group is a service's databases. It is safe for concurrent use.
type Group struct {
	cfg   GroupConfig
	store *Store

	mu       sync.Mutex
	members  []*Database
	runs     []Run
	term     uint64
	lastConn uint64
}

// NewGroup starts a group whose first database leads, and registers it.
func NewGroup(cfg GroupConfig, store *Store) (*Group, error) {
	g := &Group{cfg: cfg, store: store, term: 1}
	for i := range cfg.Databases {
		d := &Database{
			g: g, id: fmt.Sprintf("%s-db-%d", cfg.Service, i), zone: fmt.Sprintf("z%d", i), term: 1, primary: i == 0,
			slots: make(chan struct{}, cfg.Slots), conns: make(map[net.Conn]string), deafTo: make(map[string]bool),
			born: time.Now().UnixMilli(),
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

// Members returns the databases.
func (g *Group) Members() []*Database { return g.members }

// Runs returns the statements that were run so far.
func (g *Group) Runs() []Run {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Run(nil), g.runs...)
}

// Primary returns the primary of the highest term.
func (g *Group) Primary() *Database {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leader()
}

func (g *Group) leader() *Database {
	var best *Database
	for _, d := range g.members {
		if d.primary && (best == nil || d.term > best.term) {
			best = d
		}
	}
	return best
}

// Log returns the log of the newest term's leader.
func (g *Group) Log() []Commit {
	g.mu.Lock()
	defer g.mu.Unlock()
	if l := g.leader(); l != nil {
		return l.log
	}
	return nil
}

// replicate sends the leader's log to a replica after the lag. g.mu is held.
func (g *Group) replicate() {
	for _, d := range g.members {
		if d.primary {
			continue
		}
		time.AfterFunc(g.cfg.ReplicationLag, func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			l := g.leader()
			if l == nil || d.primary || d.paused || d.lagging || d.down || l.down || l.cut || d.cut {
				return
			}
			d.log, d.term = l.log, l.term
		})
	}
}

// Promote makes a database the leader of the next term after the usual time.
// It reports false if the database does not run.
func (g *Group) Promote(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, d := range g.members {
		if d.id != id {
			continue
		}
		if d.down {
			return false
		}
		if d.primary && d.term == g.term {
			return true
		}
		time.AfterFunc(g.cfg.PromotionDelay, func() { g.lead(d) })
		return true
	}
	return false
}

// stepDown is how long a former primary that can reach the new one goes on.
const stepDown = time.Second

func (g *Group) lead(d *Database) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if d.down || (d.primary && d.term == g.term) {
		return
	}
	g.term++
	d.primary, d.term, d.held, d.paused = true, g.term, 0, false
	d.announce()
	for _, former := range g.members {
		if former != d && former.primary {
			time.AfterFunc(stepDown, func() {
				g.mu.Lock()
				defer g.mu.Unlock()
				if !former.cut && former.primary && former.term < g.term {
					former.follow()
				}
			})
		}
	}
	g.replicate()
}

// record keeps a run. g.mu is held.
func (g *Group) record(r Run) { g.runs = append(g.runs, r) }

// ListenPromotions serves the promotion call for the groups.
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
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil || r.Header.Get("X-Geraniumbeam-Fencing-Token") == "" {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		for _, g := range groups {
			if g.cfg.Service == body.Service && g.Promote(body.ID) {
				return
			}
		}
		w.WriteHeader(http.StatusConflict)
	})}
	go func() { _ = srv.Serve(l) }() // ends with Close
	return l.Addr().String(), func() { _ = srv.Close() }, nil
}
