// Package hosted is a stand-in for the users' platform in tests: the object
// store, the promotion call, and groups of databases that speak lines. It spells
// the protocol by itself, so that a mistake of the product's codec shows.
//
// Invariants: one revision counter orders all changes. A conditional change is
// made only at the revision it names. A database's log only grows at its end,
// but for what a promotion rolls back.
package hosted

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// objectsPath is the path of all object calls.
const objectsPath = "/v1/objects/"

// Meta is the head of an object.
type Meta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// Object is an object of the store.
type Object struct {
	Meta   Meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

// Fault is how the store treats calls.
type Fault string

// Faults.
const (
	Healthy    Fault = ""
	Busy       Fault = "busy"   // 503, nothing is done
	Reset      Fault = "reset"  // the connection is closed without an answer
	NoAnswer   Fault = "silent" // no answer
	LostAnswer Fault = "lost"   // one call in three is done and not answered
	Slow       Fault = "slow"   // answers take slowAnswer
)

const (
	slowAnswer = 200 * time.Millisecond
	lostShare  = 3
	pageSize   = 50
)

type change struct {
	revision uint64
	kind     string
	object   Object
	removed  bool
}

// Store is the object store. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]Object
	history  []change
	changed  chan struct{}
	faults   map[string]Fault // by listener; "" is the fault of all
	calls    int
	server   []*http.Server
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{revision: 1, objects: make(map[string]map[string]Object), changed: make(chan struct{}), faults: make(map[string]Fault)}
}

// Listen serves the store on an address of its own under a name that faults
// can be set for.
func (s *Store) Listen(name string) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(name, w, r) })}
	s.mu.Lock()
	s.server = append(s.server, srv)
	s.mu.Unlock()
	go func() { _ = srv.Serve(l) }() // ends with Close
	return l.Addr().String(), nil
}

// Close stops the store.
func (s *Store) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, srv := range s.server {
		_ = srv.Close() // nothing depends on how a stand-in ends
	}
}

// SetFault sets the fault for one listener, or for all with the name "".
func (s *Store) SetFault(name string, f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[name] = f
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Store) fault(name string) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if f := s.faults[""]; f != Healthy {
		return f
	}
	return s.faults[name]
}

func (s *Store) serve(name string, w http.ResponseWriter, r *http.Request) {
	switch s.fault(name) {
	case Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Reset:
		panic(http.ErrAbortHandler)
	case NoAnswer:
		<-r.Context().Done()
		return
	case LostAnswer:
		if r.Method != http.MethodGet && rand.IntN(lostShare) == 0 {
			s.handle(discard{}, r)
			panic(http.ErrAbortHandler)
		}
	case Slow:
		time.Sleep(slowAnswer)
	}
	s.handle(w, r)
}

// discard is an answer that nobody gets.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(p []byte) (int, error) { return len(p), nil }
func (discard) WriteHeader(int)             {}

func (s *Store) handle(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, objectsPath), "/")
	var o Object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind, r.URL.Query().Get("after"))
	case r.Method == http.MethodPost:
		s.write(w, kind, o.Meta.Name, o, true)
	case r.Method == http.MethodPut:
		s.write(w, kind, name, o, false)
	case r.Method == http.MethodDelete:
		s.Remove(kind, name)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may have gone
}

func (s *Store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	names := make([]string, 0)
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	more := len(names) > pageSize
	names = names[:min(len(names), pageSize)]
	items := make([]Object, 0, len(names))
	for _, name := range names {
		items = append(items, s.objects[kind][name])
	}
	at := s.revision
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "at": at})
}

func (s *Store) write(w http.ResponseWriter, kind, name string, o Object, create bool) {
	s.mu.Lock()
	old, exists := s.objects[kind][name]
	status, answer := http.StatusOK, any(nil)
	switch {
	case create && exists, !create && exists && o.Meta.Revision != 0 && o.Meta.Revision != old.Meta.Revision:
		status, answer = http.StatusConflict, old
	case !create && !exists:
		status = http.StatusNotFound
	default:
		o.Meta.Name = name
		answer = s.put(kind, o)
	}
	s.mu.Unlock()
	reply(w, status, answer)
}

// put stores an object. s.mu is held.
func (s *Store) put(kind string, o Object) Object {
	s.revision++
	o.Meta.Revision = s.revision
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]Object)
	}
	s.objects[kind][o.Meta.Name] = o
	s.note(change{s.revision, kind, o, false})
	return o
}

// note wakes the watches. s.mu is held.
func (s *Store) note(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put stores an object as another writer of the store does.
func (s *Store) Put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, Object{Meta: Meta{Name: name}, Spec: data})
}

// Remove removes an object.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	s.note(change{s.revision, kind, o, true})
}

// Compact drops the history, so that all watches end with 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.history = nil
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, err1 := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, err2 := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	if err1 != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	expired := time.After(time.Duration(wait) * time.Millisecond)
	for {
		events, at, changed, gone := s.since(kind, after)
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-expired:
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) since(kind string, after uint64) (events []map[string]any, at uint64, changed chan struct{}, gone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events = []map[string]any{}
	oldest := s.revision + 1
	if len(s.history) > 0 {
		oldest = s.history[0].revision
	}
	for _, c := range s.history {
		if c.kind == kind && c.revision > after {
			events = append(events, map[string]any{"object": c.object, "removed": c.removed})
		}
	}
	return events, s.revision, s.changed, after+1 < oldest
}

// Route is a route of the operators' configuration.
type Route struct {
	Database string // the name that callers connect to
	Type     string // primary, bounded or read_your_writes
	Service  string
	Timeout  time.Duration
	MaxAge   time.Duration
}

// Configure writes a configuration as the operators do.
func (s *Store) Configure(version int, routes []Route, maxConnections map[string]int, txIdle time.Duration) {
	encodedRoutes := make([]map[string]any, 0, len(routes))
	for _, r := range routes {
		encodedRoutes = append(encodedRoutes, map[string]any{
			"name": "r-" + r.Database, "database": r.Database, "route_type": r.Type, "service": r.Service, "priority": 1,
			"timeout_ms": r.Timeout.Milliseconds(), "target_latency_ms": 250, "max_staleness_ms": r.MaxAge.Milliseconds(),
		})
	}
	services := make([]map[string]any, 0, len(maxConnections))
	for name, limit := range maxConnections {
		services = append(services, map[string]any{"name": name, "max_connections": limit})
	}
	s.Put("config", "main", map[string]any{
		"version": version, "routes": encodedRoutes, "services": services,
		"limits": map[string]any{"tx_idle_ms": txIdle.Milliseconds()},
	})
}
