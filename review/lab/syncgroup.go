package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"geraniumbeam/internal/standin/hosted"
)

const (
	syncSlots        = 2
	syncQueue        = 16
	syncWork         = 14 * time.Millisecond
	syncControlWork  = time.Millisecond
	syncLag          = 8 * time.Millisecond
	syncPromoteDelay = 300 * time.Millisecond
	syncPollInterval = time.Millisecond
)

// syncEntry is a commit in a log.
type syncEntry struct {
	term uint64
	id   string
}

// syncGroup is a service whose primary acknowledges a commit only once one replica has
// received it. Its mutex guards the fields of its databases.
type syncGroup struct {
	rec   *record
	store *hosted.Store

	mu        sync.Mutex
	databases []*syncDatabase
	term      uint64
	acked     []string // ids of acknowledged commits, in order
	lost      []string // acknowledged commits that a promoted database lacked
}

// syncDatabase is one database of a syncGroup.
type syncDatabase struct {
	group   *syncGroup
	id      string
	address string
	slots   chan struct{}

	listener net.Listener
	conns    map[net.Conn]bool
	queued   int
	slowness int
	log      []syncEntry
	term     uint64
	held     uint64
	primary  bool
	paused   bool
	deaf     bool
	crashed  bool
}

// newSyncGroup starts three databases, the first of which is the primary, and
// registers them.
func newSyncGroup(rec *record, store *hosted.Store) (*syncGroup, error) {
	g := &syncGroup{rec: rec, store: store, term: 1}
	for n := range 3 {
		d := &syncDatabase{
			group: g, id: fmt.Sprintf("db-%d", n), slots: make(chan struct{}, syncSlots), conns: make(map[net.Conn]bool),
			slowness: 1, term: 1, primary: n == 0,
		}
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return g, err
		}
		d.listener, d.address = l, l.Addr().String()
		g.databases = append(g.databases, d)
		go d.accept()
		d.register()
	}
	return g, nil
}

func (d *syncDatabase) register() {
	role := "replica"
	if d.primary {
		role = "primary"
	}
	d.group.store.Put("servers", d.id, map[string]any{
		"service": service, "address": d.address, "zone": "z" + strings.TrimPrefix(d.id, "db-"), "version": "v1", "capacity": syncSlots,
		"state": "ready", fieldCold: 0, fieldRole: role, "sequence": 1, "born": d.group.rec.start.UnixMilli(),
	})
}

func (d *syncDatabase) accept() {
	for {
		c, err := d.listener.Accept()
		if err != nil {
			return
		}
		d.group.mu.Lock()
		d.conns[c] = true
		d.group.mu.Unlock()
		go d.serve(c)
	}
}

// crash closes the listener and all connections.
func (d *syncDatabase) crash() {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.crashed = true
	_ = d.listener.Close()
	for c := range d.conns {
		_ = c.Close()
	}
}

// set changes the state of the database.
func (d *syncDatabase) set(f func(d *syncDatabase)) {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	f(d)
}

// position is the end of the log. group.mu is held.
func (d *syncDatabase) position() string {
	if len(d.log) == 0 {
		return fmt.Sprintf("%d.0", d.term)
	}
	return fmt.Sprintf("%d.%d", d.log[len(d.log)-1].term, len(d.log))
}

// hasReached reports whether the log contains a position.
func (d *syncDatabase) hasReached(position string) bool {
	t, n, _ := strings.Cut(position, ".")
	term, err1 := strconv.ParseUint(t, 10, 64)
	number, err2 := strconv.Atoi(n)
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	return err1 == nil && err2 == nil && number <= len(d.log) && (number == 0 || d.log[number-1].term <= term) && d.term >= term
}

// syncSession is a session of an instance.
type syncSession struct {
	d       *syncDatabase
	out     *bufio.Writer
	begun   bool
	failed  bool
	readTx  bool
	pending []string // ids of writes
}

func (d *syncDatabase) serve(c net.Conn) {
	defer func() {
		d.group.mu.Lock()
		delete(d.conns, c)
		d.group.mu.Unlock()
		_ = c.Close()
	}()
	r, s := bufio.NewReader(c), &syncSession{d: d, out: bufio.NewWriter(c)}
	line, err := r.ReadString('\n')
	if f := strings.Fields(line); err != nil || len(f) < 3 || f[1] != service || (len(f) > 3 && f[3] != d.id) {
		_, _ = fmt.Fprintf(c, "ERROR %s %s\r\n", codeWrongTarget, d.id)
		return
	}
	d.group.mu.Lock()
	_, _ = fmt.Fprintf(s.out, "READY I %s\r\n", d.position())
	d.group.mu.Unlock()
	for s.out.Flush() == nil {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		f := strings.SplitN(strings.TrimSuffix(line, "\r\n"), " ", 3)
		if len(f) < 3 {
			return
		}
		rows, code, answered := s.query(f[1], f[2])
		if !answered {
			return
		}
		s.reply(rows, code)
	}
}

func (s *syncSession) reply(rows []string, code string) {
	for _, row := range rows {
		_, _ = fmt.Fprintf(s.out, "%s %s\r\n", wordRow, row)
	}
	if code == "" {
		_, _ = fmt.Fprintf(s.out, "COMPLETE sig.%s\r\n", s.d.id)
	} else {
		s.failed = s.begun
		_, _ = fmt.Fprintf(s.out, "ERROR %s %s\r\n", code, s.d.id)
	}
	state := "I"
	switch {
	case s.failed:
		state = "E"
	case s.begun:
		state = "T"
	}
	s.d.group.mu.Lock()
	defer s.d.group.mu.Unlock()
	_, _ = fmt.Fprintf(s.out, "READY %s %s\r\n", state, s.d.position())
}

// query runs one request. answered is false if the database has crashed meanwhile.
func (s *syncSession) query(id, text string) (rows []string, code string, answered bool) {
	d := s.d
	if rest, ok := strings.CutPrefix(text, wordWaitFor+" "); ok {
		position, stripped, _ := strings.Cut(rest, " ")
		if !d.hasReached(position) {
			return nil, codeBehind, true
		}
		text = stripped
	}
	verb, rest, _ := strings.Cut(text, " ")
	switch verb {
	case "SET", "PREPARE", verbDeallocate, "RESET":
		return nil, "", true
	case "BEGIN":
		d.group.mu.Lock()
		defer d.group.mu.Unlock()
		if rest != "READ" && !d.primary {
			return nil, "READONLY", true
		}
		s.begun, s.readTx = true, rest == "READ"
		return nil, "", true
	case "ROLLBACK":
		s.begun, s.failed, s.pending = false, false, nil
		return nil, "", true
	case "STATUS", "PAUSE", "RESUME", "DEMOTE":
		if !d.work(syncControlWork) {
			return nil, codeOverloaded, true
		}
		return []string{d.control(verb, rest)}, "", !d.hasCrashed()
	}
	if !d.work(syncWork) {
		return nil, codeOverloaded, true
	}
	switch {
	case verb == "READ":
		return []string{"-"}, "", !d.hasCrashed()
	case verb == "WRITE" && s.begun:
		s.pending = append(s.pending, id)
		return nil, "", !d.hasCrashed()
	case verb == "WRITE":
		return s.commit([]string{id})
	case verb == "COMMIT":
		pending := s.pending
		s.begun, s.failed, s.pending = false, false, nil
		return s.commit(pending)
	}
	return nil, "MALFORMED", true
}

func (d *syncDatabase) hasCrashed() bool {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	return d.crashed
}

// work waits for a slot and uses it. It reports false if too many requests wait.
func (d *syncDatabase) work(usual time.Duration) bool {
	d.group.mu.Lock()
	if d.queued >= syncQueue {
		d.group.mu.Unlock()
		return false
	}
	d.queued++
	d.group.mu.Unlock()
	d.slots <- struct{}{}
	d.group.mu.Lock()
	d.queued--
	slowness := d.slowness
	d.group.mu.Unlock()
	time.Sleep(time.Duration(slowness) * usual)
	<-d.slots
	return true
}

func (d *syncDatabase) control(verb, rest string) string {
	term, _ := strconv.ParseUint(rest, 10, 64) // a missing term is 0
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	switch {
	case verb == "PAUSE" && !d.primary && term > d.term:
		d.paused, d.held = true, max(d.held, term)
	case verb == "RESUME":
		d.paused, d.held = false, 0
	case verb == "DEMOTE" && d.primary && d.term < term:
		d.primary = false
	}
	role := "replica"
	if d.primary {
		role = "primary"
	}
	d.group.rec.add(d.id, "answers %s %s: %s, position %s", verb, rest, role, d.position())
	return fmt.Sprintf("%s %d %s %d 0 %d %d", role, d.term, d.position(), d.held, len(d.slots), len(d.conns))
}

// commit appends commits to the log, and acknowledges them once a replica has received
// them.
func (s *syncSession) commit(ids []string) (rows []string, code string, answered bool) {
	d, g := s.d, s.d.group
	g.mu.Lock()
	if !d.primary && len(ids) > 0 {
		g.mu.Unlock()
		return nil, "READONLY", true
	}
	for _, id := range ids {
		d.log = append(d.log, syncEntry{d.term, id})
	}
	end, term := len(d.log), d.term
	g.mu.Unlock()
	if len(ids) == 0 {
		return nil, "", !d.hasCrashed()
	}
	for _, r := range g.databases {
		if r != d {
			time.AfterFunc(syncLag, func() { r.receive(d, end) })
		}
	}
	for ; ; time.Sleep(syncPollInterval) {
		g.mu.Lock()
		received := false
		for _, r := range g.databases {
			received = received || (r != d && len(r.log) >= end && r.log[end-1] == syncEntry{term, ids[len(ids)-1]})
		}
		crashed := d.crashed
		if received && !crashed {
			g.acked = append(g.acked, ids...)
		}
		g.mu.Unlock()
		if crashed {
			return nil, "", false
		}
		if received {
			return nil, "", true
		}
	}
}

// receive takes over the log of the primary up to a length.
func (d *syncDatabase) receive(from *syncDatabase, end int) {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	if d.paused || d.deaf || d.crashed || d.primary || from.crashed || end <= len(d.log) {
		return
	}
	d.log, d.term = append([]syncEntry(nil), from.log[:end]...), from.term
}

// promote makes a database the primary of the next term, and notes which acknowledged
// commits it lacks.
func (g *syncGroup) promote(d *syncDatabase) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if d.crashed || d.primary {
		return
	}
	has := make(map[string]bool)
	for _, e := range d.log {
		has[e.id] = true
	}
	for _, id := range g.acked {
		if !has[id] {
			g.lost = append(g.lost, id)
		}
	}
	g.term++
	d.primary, d.term, d.held, d.paused = true, g.term, 0, false
	g.rec.add(d.id, "is promoted to term %d with its log up to %s", d.term, d.position())
	go d.register()
	for _, r := range g.databases {
		if r != d && !r.crashed && !r.deaf {
			r.primary, r.log, r.term = false, append([]syncEntry(nil), d.log...), d.term
		}
	}
}

// listenPromotions serves the promotion call.
func (g *syncGroup) listenPromotions() (string, func(), error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	srv := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			ID string `json:"id"`
		}
		if json.NewDecoder(r.Body).Decode(&body) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		for _, d := range g.databases {
			if d.id == body.ID && !d.hasCrashed() {
				g.rec.add("platform", "accepts the promotion of %s by %s with token %s", d.id,
					r.Header.Get(headerHolder), r.Header.Get(headerToken))
				time.AfterFunc(syncPromoteDelay, func() { g.promote(d) })
				return
			}
		}
		w.WriteHeader(http.StatusConflict)
	})}
	go func() { _ = srv.Serve(l) }() // returns after Close
	return l.Addr().String(), func() { _ = srv.Close() }, nil
}
