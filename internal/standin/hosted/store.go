// Package hosted is a stand-in for the users' hosted platform in tests: the
// object store, the promotion call and groups of databases that speak the line
// protocol. It has its own implementation of the protocol, so that an error in
// the product's codec makes a test fail.
//
// Invariants: one revision counter orders all changes. A conditional change is
// applied only at the revision it names. A database's log is append-only, except
// for the entries that a promotion rolls back.
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

// objectsPath is the path prefix of all object calls.
const objectsPath = "/v1/objects/"

// Meta is an object's metadata.
type Meta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// Object is an object in the store.
type Object struct {
	Meta   Meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

// Fault is a failure mode of the store. The zero value is Healthy.
type Fault string

// Failure modes of the store.
const (
	Healthy    Fault = ""
	Busy       Fault = "busy"   // status 503 without a change
	Reset      Fault = "reset"  // the connection is closed without a response
	NoAnswer   Fault = "silent" // no response until the client gives up
	LostAnswer Fault = "lost"   // one in lostAnswerOdds changes, at random, is made but not answered
	Slow       Fault = "slow"   // responses are delayed by slowAnswerDelay
)

const (
	slowAnswerDelay = 200 * time.Millisecond
	lostAnswerOdds  = 3
	pageSize        = 50
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
	era      uint64 // the number of restores, and one
	revision uint64
	objects  map[string]map[string]Object
	history  []change
	changed  chan struct{}
	faults   map[string]Fault // by listener name; "" applies to all
	calls    int
	servers  []*http.Server
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{era: 1, revision: 1, objects: make(map[string]map[string]Object), changed: make(chan struct{}), faults: make(map[string]Fault)}
}

// Listen serves the store on a new loopback address and returns it. SetFault
// takes the listener's name.
func (s *Store) Listen(name string) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(name, w, r) })}
	s.mu.Lock()
	s.servers = append(s.servers, srv)
	s.mu.Unlock()
	go func() { _ = srv.Serve(l) }() // returns after Close
	return l.Addr().String(), nil
}

// Close stops all listeners.
func (s *Store) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, srv := range s.servers {
		_ = srv.Close() // an error on close affects no test
	}
}

// SetFault sets the fault for one listener, or for all with the name "".
func (s *Store) SetFault(name string, f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[name] = f
}

// Calls returns the number of calls received so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// fault counts a call and returns the fault that applies to it.
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
	s.setEra(w)
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
		if r.Method != http.MethodGet && rand.IntN(lostAnswerOdds) == 0 {
			s.handle(discardResponseWriter{}, r)
			panic(http.ErrAbortHandler)
		}
	case Slow:
		time.Sleep(slowAnswerDelay)
	}
	s.handle(w, r)
}

// discardResponseWriter drops the response, as if it was lost on the way.
type discardResponseWriter struct{}

func (discardResponseWriter) Header() http.Header         { return http.Header{} }
func (discardResponseWriter) Write(p []byte) (int, error) { return len(p), nil }
func (discardResponseWriter) WriteHeader(int)             {}

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
		s.writeObject(w, kind, o.Meta.Name, o, true)
	case r.Method == http.MethodPut:
		s.writeObject(w, kind, name, o, false)
	case r.Method == http.MethodDelete:
		s.deleteObject(w, kind, name, r.URL.Query().Get("revision"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// deleteObject removes an object. With a revision it fails if the object has another
// one.
func (s *Store) deleteObject(w http.ResponseWriter, kind, name, revision string) {
	s.mu.Lock()
	old, exists := s.objects[kind][name]
	status, answer := http.StatusOK, any(nil)
	switch {
	case !exists:
		status = http.StatusNotFound
	case revision != "" && revision != strconv.FormatUint(old.Meta.Revision, 10):
		status, answer = http.StatusConflict, old
	default:
		s.remove(kind, name)
	}
	s.mu.Unlock()
	reply(w, status, answer)
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the client may have disconnected
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

// writeObject creates or updates an object. An update that names a revision
// fails if the object has another one.
func (s *Store) writeObject(w http.ResponseWriter, kind, name string, o Object, create bool) {
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

// put stores an object under the next revision. s.mu is held.
func (s *Store) put(kind string, o Object) Object {
	s.revision++
	o.Meta.Revision = s.revision
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]Object)
	}
	s.objects[kind][o.Meta.Name] = o
	s.appendChange(change{s.revision, kind, o, false})
	return o
}

// appendChange records a change and wakes the watches. s.mu is held.
func (s *Store) appendChange(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put stores an object unconditionally, as another client of the store would.
func (s *Store) Put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, Object{Meta: Meta{Name: name}, Spec: data})
}

// Remove deletes an object, if it exists.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

// remove is Remove with s.mu held.
func (s *Store) remove(kind, name string) {
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	s.appendChange(change{s.revision, kind, o, true})
}

// Compact drops the history, so that all watches end with status 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.history = nil
	close(s.changed)
	s.changed = make(chan struct{})
}

// watch answers a watch. One that waits through a restore ends with status 410.
func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, err1 := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, err2 := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	if err1 != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	expired := time.After(time.Duration(wait) * time.Millisecond)
	era := w.Header().Get(eraHeader)
	for {
		events, at, changed, gone := s.changesSince(kind, after)
		s.setEra(w)
		gone = gone || w.Header().Get(eraHeader) != era
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

// changesSince returns the changes of a kind after a revision. gone is true if the
// history no longer reaches back to it. changed is closed at the next change.
func (s *Store) changesSince(kind string, after uint64) (events []map[string]any, at uint64, changed chan struct{}, gone bool) {
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
	return events, s.revision, s.changed, after+1 < oldest || after > s.revision
}

// Route is a route of the operators' configuration.
type Route struct {
	Database string // database name that callers connect to
	Type     string // primary, bounded or read_your_writes
	Service  string
	Timeout  time.Duration
	MaxAge   time.Duration
	Public   bool // usable without the key of an organisation
}

// Configure stores a configuration as the operators do.
func (s *Store) Configure(version int, routes []Route, maxConnections map[string]int, txIdle time.Duration) {
	s.Put("config", "main", configuration(version, routes, maxConnections, txIdle))
}

// configuration returns the spec of a configuration.
func configuration(version int, routes []Route, maxConnections map[string]int, txIdle time.Duration) map[string]any {
	encodedRoutes := make([]map[string]any, 0, len(routes))
	for _, r := range routes {
		encodedRoutes = append(encodedRoutes, map[string]any{
			"name": "r-" + r.Database, "database": r.Database, "route_type": r.Type, "service": r.Service, "priority": 1,
			"timeout_ms": r.Timeout.Milliseconds(), "target_latency_ms": 250, "max_staleness_ms": r.MaxAge.Milliseconds(),
			"public": r.Public,
		})
	}
	services := make([]map[string]any, 0, len(maxConnections))
	for name, limit := range maxConnections {
		services = append(services, map[string]any{"name": name, "max_connections": limit})
	}
	return map[string]any{
		"version": version, "routes": encodedRoutes, "services": services,
		"limits": map[string]any{"tx_idle_ms": txIdle.Milliseconds()},
	}
}
