package hosted

import (
	"bufio"
	"fmt"
	"maps"
	"net"
	"strconv"
	"strings"
	"time"
)

// Database is one database of a group. The group's lock protects it.
type Database struct {
	g      *Group
	id     string
	zone   string
	addr   string
	public string // as registered
	born   int64
	slots  chan struct{}

	listener net.Listener
	conns    map[net.Conn]string // by connection: who opened it
	waiting  int                 // statements that wait for a slot

	log     []Commit
	term    uint64
	held    uint64
	primary bool
	paused  bool
	down    bool
	cut     bool // from the other databases
	lagging bool // receives nothing
	dropped int  // answers to drop, of one in dropped
	deafTo  map[string]bool
}

// queueLimit is how many statements may wait for a slot.
const queueLimit = 16

// ID returns the database's id.
func (d *Database) ID() string { return d.id }

func (d *Database) listen() error {
	address := "127.0.0.1:0"
	if d.addr != "" {
		address = d.addr
	}
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	d.listener, d.addr = l, l.Addr().String()
	if d.public == "" {
		d.public = d.addr
		if d.g.cfg.AdvertisedAddress != nil {
			d.public = d.g.cfg.AdvertisedAddress(d.id, d.addr)
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go d.serve(c)
		}
	}()
	return nil
}

// register writes the database's registration. The group's lock is not held.
func (d *Database) register(state string) {
	d.g.mu.Lock()
	spec := d.registration(state)
	d.g.mu.Unlock()
	d.g.store.Put("servers", d.id, spec)
}

func (d *Database) registration(state string) map[string]any {
	role := "replica"
	if d.primary {
		role = "primary"
	}
	return map[string]any{
		"service": d.g.cfg.Service, "address": d.public, "zone": d.zone, "version": "v1", "capacity": d.g.cfg.Slots,
		"state": state, "cold_remaining_ms": 0, "db_role": role, "sequence": 1, "born": d.born,
	}
}

// announce registers a change of the role. The group's lock is held.
func (d *Database) announce() {
	spec := d.registration("ready")
	go d.g.store.Put("servers", d.id, spec)
}

// follow makes a former primary a replica. The group's lock is held.
func (d *Database) follow() {
	d.primary = false
	if l := d.g.leader(); l != nil && !d.cut {
		d.log, d.term = l.log, l.term
	}
	d.announce()
}

// Crash ends the database's process; its log stays.
func (d *Database) Crash() {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	d.down = true
	_ = d.listener.Close() // the process is gone
	for c := range d.conns {
		_ = c.Close()
	}
}

// Restart starts a crashed database with its log, as a replica if another leads.
func (d *Database) Restart() error {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	d.down, d.held, d.paused = false, 0, false
	d.born = time.Now().UnixMilli()
	if l := d.g.leader(); l != d && l != nil {
		d.follow()
	}
	d.announce()
	return d.listen()
}

// SetPartitioned partitions the database from the others of its group.
func (d *Database) SetPartitioned(on bool) {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	d.cut = on
	if !on && d.primary && d.term < d.g.term {
		time.AfterFunc(stepDown, func() {
			d.g.mu.Lock()
			defer d.g.mu.Unlock()
			if d.primary && d.term < d.g.term {
				d.follow()
			}
		})
	}
}

// SetLagging makes a replica receive nothing.
func (d *Database) SetLagging(on bool) {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	d.lagging = on
}

// SetUnresponsiveTo silences all connections of one instance.
func (d *Database) SetUnresponsiveTo(instance string, on bool) {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	d.deafTo[instance] = on
}

// LoseAnswers drops the answer of one statement in n and closes the connection;
// 0 drops none.
func (d *Database) LoseAnswers(n int) {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	d.dropped = n
}

// ResetConnections closes all connections.
func (d *Database) ResetConnections() {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	for c := range d.conns {
		_ = c.Close()
	}
}

// connection is one session at a database.
type connection struct {
	d        *Database
	number   uint64
	who      string
	out      *bufio.Writer
	vars     map[string]string
	prepared map[string]string // name to mode and shape
	begin    string            // id of Begin; "" outside a transaction
	readOnly bool
	failed   bool
	pending  []Commit
	term     uint64 // at Begin
}

func (d *Database) serve(c net.Conn) {
	defer func() {
		d.g.mu.Lock()
		delete(d.conns, c)
		d.g.mu.Unlock()
		_ = c.Close()
	}()
	r := bufio.NewReader(c)
	x := &connection{d: d, out: bufio.NewWriter(c), vars: map[string]string{}, prepared: map[string]string{}}
	line, err := r.ReadString('\n')
	if err != nil || !x.start(c, strings.Fields(line)) {
		return
	}
	n := 0
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		if d.isDeafTo(x.who) {
			continue
		}
		x.query(strings.TrimSuffix(line, "\r\n"))
		n++
		if lose := d.losing(); lose > 0 && n%lose == 0 {
			return
		}
		if r.Buffered() == 0 && x.out.Flush() != nil {
			return
		}
	}
}

func (d *Database) losing() int {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	return d.dropped
}

func (d *Database) isDeafTo(who string) bool {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	return d.deafTo[who] || d.down
}

func (x *connection) start(c net.Conn, f []string) bool {
	d := x.d
	if len(f) < 3 || f[0] != "START" || f[1] != d.g.cfg.Service || (len(f) > 3 && f[3] != d.id) {
		fmt.Fprintf(x.out, "ERROR WRONGNODE %s\r\n", d.id)
		_ = x.out.Flush()
		return false
	}
	x.who = f[2]
	d.g.mu.Lock()
	full := len(d.conns) >= d.g.cfg.MaxConnections
	if !full {
		d.conns[c] = x.who
		d.g.lastConn++
		x.number = d.g.lastConn
	}
	position := d.position()
	d.g.mu.Unlock()
	if full {
		fmt.Fprintf(x.out, "ERROR CONNLIMIT %s\r\n", d.id)
		_ = x.out.Flush()
		return false
	}
	if d.isDeafTo(x.who) {
		return true
	}
	fmt.Fprintf(x.out, "READY I %s\r\n", position)
	return x.out.Flush() == nil
}

func (d *Database) position() string { return fmt.Sprintf("%d.%d", d.term, len(d.log)) }

// reply writes an answer. d.g.mu is not held.
func (x *connection) reply(rows []string, problem string) {
	for _, row := range rows {
		fmt.Fprintf(x.out, "DATAROW %s\r\n", row)
	}
	if problem != "" {
		if x.begin != "" {
			x.failed = true
		}
		fmt.Fprintf(x.out, "ERROR %s %s\r\n", problem, x.d.id)
	} else {
		fmt.Fprintf(x.out, "COMPLETE sig.%s\r\n", x.d.id)
	}
	state := "I"
	switch {
	case x.failed:
		state = "E"
	case x.begin != "":
		state = "T"
	}
	x.d.g.mu.Lock()
	position := x.d.position()
	x.d.g.mu.Unlock()
	fmt.Fprintf(x.out, "READY %s %s\r\n", state, position)
}

func (x *connection) query(line string) {
	f := strings.SplitN(line, " ", 3)
	if len(f) < 3 || f[0] != "QUERY" {
		x.reply(nil, "MALFORMED")
		return
	}
	id, text := f[1], f[2]
	if rest, ok := strings.CutPrefix(text, "WAITFOR "); ok {
		position, stripped, _ := strings.Cut(rest, " ")
		if !x.d.holds(position) {
			x.reply(nil, "LAGGING")
			return
		}
		text = stripped
	}
	verb, rest, _ := strings.Cut(text, " ")
	if x.failed && verb != "ROLLBACK" && verb != "COMMIT" {
		x.reply(nil, "MALFORMED")
		return
	}
	switch verb {
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		x.vars[name] = value
		x.reply(nil, "")
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		x.prepared[name] = shape
		x.reply(nil, "")
	case "DEALLOC":
		delete(x.prepared, rest)
		x.reply(nil, "")
	case "RESET":
		clear(x.vars)
		clear(x.prepared)
		x.reply(nil, "")
	case "STATUS", "PAUSE", "RESUME", "DEMOTE":
		x.control(verb, rest)
	case "BEGIN":
		x.begins(id, rest == "READ")
	case "ROLLBACK":
		x.end()
		x.reply(nil, "")
	case "COMMIT":
		x.commit(id)
	case "READ":
		x.work(id, text, false, rest, "")
	case "WRITE":
		item, data, _ := strings.Cut(rest, " ")
		x.work(id, text, true, item, data)
	case "EXECUTE":
		name, args, _ := strings.Cut(rest, " ")
		shape, ok := x.prepared[name]
		if !ok {
			x.reply(nil, "NOTFOUND")
			return
		}
		item, data, _ := strings.Cut(args, " ")
		x.work(id, text, strings.HasPrefix(shape, "WRITE"), item, data)
	default:
		x.reply(nil, "MALFORMED")
	}
}

// holds reports whether the log has a position.
func (d *Database) holds(position string) bool {
	t, n, _ := strings.Cut(position, ".")
	term, err1 := strconv.ParseUint(t, 10, 64)
	number, err2 := strconv.Atoi(n)
	if err1 != nil || err2 != nil {
		return false
	}
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	return d.term >= term && number <= len(d.log) && (number == 0 || d.log[number-1].Term <= term)
}

func (x *connection) control(verb, rest string) {
	d := x.d
	term, _ := strconv.ParseUint(rest, 10, 64) // a missing term is 0
	d.g.mu.Lock()
	switch {
	case verb == "PAUSE" && !d.primary && term > d.term:
		d.paused, d.held = true, max(d.held, term)
	case verb == "RESUME":
		d.paused, d.held = false, 0
		d.g.replicate()
	case verb == "DEMOTE" && d.primary && d.term < term:
		d.follow()
	}
	role := "replica"
	if d.primary {
		role = "primary"
	}
	row := fmt.Sprintf("%s %d %s %d 0 %d %d", role, d.term, d.position(), d.held, len(d.slots), len(d.conns))
	d.g.mu.Unlock()
	x.reply([]string{row}, "")
}

func (x *connection) begins(id string, readOnly bool) {
	d := x.d
	d.g.mu.Lock()
	refused := !readOnly && !d.primary
	term := d.term
	d.g.mu.Unlock()
	if refused {
		x.reply(nil, "READONLY")
		return
	}
	x.begin, x.readOnly, x.term = id, readOnly, term
	x.reply(nil, "")
}

// takeSlot waits for a slot.
func (x *connection) takeSlot() bool {
	d := x.d
	d.g.mu.Lock()
	if d.waiting >= queueLimit {
		d.g.mu.Unlock()
		return false
	}
	d.waiting++
	d.g.mu.Unlock()
	d.slots <- struct{}{}
	d.g.mu.Lock()
	d.waiting--
	d.g.mu.Unlock()
	time.Sleep(d.g.cfg.ServiceTime)
	return true
}

// lost reports that the database may not write, or no longer leads the term in
// which the transaction began. d.g.mu is held.
func (x *connection) lost(writes bool) bool {
	d := x.d
	if x.begin != "" && !x.readOnly {
		return !d.primary || d.term != x.term
	}
	return writes && !d.primary
}

func (x *connection) work(id, text string, writes bool, item, data string) {
	if !x.takeSlot() {
		x.reply(nil, "THROTTLED")
		return
	}
	d := x.d
	d.g.mu.Lock()
	<-d.slots
	if x.lost(writes) || (writes && x.readOnly) {
		d.g.mu.Unlock()
		x.reply(nil, "READONLY")
		return
	}
	run := x.run(id, text)
	var rows []string
	switch {
	case !writes:
		rows = []string{x.lookUp(item)}
	case x.begin != "":
		x.pending = append(x.pending, Commit{Term: d.term, ID: id, Item: item, Data: data})
	default:
		run.Committed = x.append([]Commit{{Term: d.term, ID: id, Item: item, Data: data}})
	}
	d.g.record(run)
	d.g.mu.Unlock()
	x.reply(rows, "")
}

func (x *connection) run(id, text string) Run {
	return Run{
		At: time.Now(), Database: x.d.id, Connection: x.number, ID: id, Text: text, BeginID: x.begin, Log: x.d.log,
		Variables: maps.Clone(x.vars), Superseded: x.d.term < x.d.g.term,
	}
}

// append adds commits to the log. d.g.mu is held.
func (x *connection) append(commits []Commit) []Commit {
	d := x.d
	d.log = append(d.log[:len(d.log):len(d.log)], commits...)
	d.g.replicate()
	return commits
}

// lookUp returns the latest value of an item. d.g.mu is held.
func (x *connection) lookUp(item string) string {
	for i := len(x.pending) - 1; i >= 0; i-- {
		if x.pending[i].Item == item {
			return x.pending[i].Data
		}
	}
	for i := len(x.d.log) - 1; i >= 0; i-- {
		if x.d.log[i].Item == item {
			return x.d.log[i].Data
		}
	}
	return "-"
}

// end leaves the transaction.
func (x *connection) end() {
	x.begin, x.readOnly, x.failed, x.pending = "", false, false, nil
}

func (x *connection) commit(id string) {
	if x.begin == "" || x.failed {
		x.end()
		x.reply(nil, "ABORTED")
		return
	}
	if !x.takeSlot() {
		x.reply(nil, "THROTTLED")
		return
	}
	d := x.d
	d.g.mu.Lock()
	<-d.slots
	if len(x.pending) > 0 && x.lost(true) {
		x.end()
		d.g.mu.Unlock()
		x.reply(nil, "READONLY")
		return
	}
	run := x.run(id, "COMMIT")
	if len(x.pending) > 0 {
		run.Committed = x.append(x.pending)
	}
	d.g.record(run)
	x.end()
	d.g.mu.Unlock()
	x.reply(nil, "")
}
