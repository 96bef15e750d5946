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

// Database is one database of a group. The group's mutex guards its fields.
type Database struct {
	group          *Group
	id             string
	zone           string
	listenAddr     string
	advertisedAddr string // address in the registration
	startMillis    int64
	slots          chan struct{}

	listener         net.Listener
	conns            map[net.Conn]string // the instance or the organisation under whose name the connection was opened
	queuedStatements int                 // statements waiting for a slot

	log                []Commit
	term               uint64
	heldTerm           uint64
	primary            bool
	paused             bool
	crashed            bool
	partitioned        bool // from the other databases of the group
	lagging            bool // receives no log entries
	answerLossInterval int  // one answer in this many is lost; 0: none
	unresponsiveTo     map[string]bool
}

// maxQueuedStatements is the number of statements that may wait for a slot;
// further ones are answered with THROTTLED.
const maxQueuedStatements = 16

func (d *Database) ID() string { return d.id }

func (d *Database) listen() error {
	address := "127.0.0.1:0"
	if d.listenAddr != "" {
		address = d.listenAddr
	}
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	d.listener, d.listenAddr = l, l.Addr().String()
	if d.advertisedAddr == "" {
		d.advertisedAddr = d.listenAddr
		if d.group.cfg.AdvertisedAddress != nil {
			d.advertisedAddr = d.group.cfg.AdvertisedAddress(d.id, d.listenAddr)
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

// register writes the database's registration. d.group.mu is not held.
func (d *Database) register(state string) {
	d.group.mu.Lock()
	spec := d.registration(state)
	d.group.mu.Unlock()
	d.group.store.Put("servers", d.id, spec)
}

// registration returns the spec of the registration. d.group.mu is held.
func (d *Database) registration(state string) map[string]any {
	role := "replica"
	if d.primary {
		role = "primary"
	}
	return map[string]any{
		"service": d.group.cfg.Service, "address": d.advertisedAddr, "zone": d.zone, "version": "v1", "capacity": d.group.cfg.Slots,
		"state": state, "cold_remaining_ms": 0, "db_role": role, "sequence": 1, "born": d.startMillis,
	}
}

// Leave reports that the database leaves. It goes on serving.
func (d *Database) Leave() { d.register("draining") }

// registerRoleChange updates the registration in the background. d.group.mu is held.
func (d *Database) registerRoleChange() {
	spec := d.registration("ready")
	go d.group.store.Put("servers", d.id, spec)
}

// becomeReplica makes a former primary a replica; it takes over the log of the
// current primary unless it is partitioned. d.group.mu is held.
func (d *Database) becomeReplica() {
	d.primary = false
	if primary := d.group.currentPrimary(); primary != nil && !d.partitioned {
		d.log, d.term = primary.log, primary.term
	}
	d.registerRoleChange()
}

// Crash closes the listener and all connections. The log is kept.
func (d *Database) Crash() {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.crashed = true
	_ = d.listener.Close() // a crashed process reports no error
	for c := range d.conns {
		_ = c.Close()
	}
}

// Restart starts a crashed database with its log, as a replica if another
// database is the primary.
func (d *Database) Restart() error {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.crashed, d.heldTerm, d.paused = false, 0, false
	d.startMillis = time.Now().UnixMilli()
	if primary := d.group.currentPrimary(); primary != d && primary != nil {
		d.becomeReplica()
	}
	d.registerRoleChange()
	return d.listen()
}

// SetPartitioned partitions the database from the others of its group.
func (d *Database) SetPartitioned(on bool) {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.partitioned = on
	if !on && d.primary && d.term < d.group.term {
		time.AfterFunc(stepDownDelay, func() {
			d.group.mu.Lock()
			defer d.group.mu.Unlock()
			if d.primary && d.term < d.group.term {
				d.becomeReplica()
			}
		})
	}
}

// SetLagging stops or resumes replication to the database.
func (d *Database) SetLagging(on bool) {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.lagging = on
}

// SetUnresponsiveTo stops or resumes answers on all connections of one instance.
func (d *Database) SetUnresponsiveTo(instance string, on bool) {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.unresponsiveTo[instance] = on
}

// LoseAnswers closes the connection instead of answering one statement in n on
// each connection; 0 loses none.
func (d *Database) LoseAnswers(n int) {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.answerLossInterval = n
}

// ResetConnections closes all open connections.
func (d *Database) ResetConnections() {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	for c := range d.conns {
		_ = c.Close()
	}
}

// connection is one session of an instance.
type connection struct {
	database  *Database
	number    uint64
	instance  string // or the organisation under whose name the connection was opened
	out       *bufio.Writer
	variables map[string]string
	prepared  map[string]string // mode (READ or WRITE) and text of prepared statements, by name
	beginID   string            // id of the BEGIN request; "" outside a transaction
	readOnly  bool
	failed    bool
	pending   []Commit
	beginTerm uint64 // term of the database at BEGIN
}

func (d *Database) serve(c net.Conn) {
	defer func() {
		d.group.mu.Lock()
		delete(d.conns, c)
		d.group.mu.Unlock()
		_ = c.Close()
	}()
	r := bufio.NewReader(c)
	conn := &connection{database: d, out: bufio.NewWriter(c), variables: map[string]string{}, prepared: map[string]string{}}
	line, err := r.ReadString('\n')
	if err != nil || !conn.startSession(c, strings.Fields(line)) {
		return
	}
	n := 0
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		if d.isUnresponsiveTo(conn.instance) {
			continue
		}
		conn.query(strings.TrimSuffix(line, "\r\n"))
		n++
		if interval := d.currentAnswerLossInterval(); interval > 0 && n%interval == 0 {
			return
		}
		if r.Buffered() == 0 && conn.out.Flush() != nil {
			return
		}
	}
}

func (d *Database) currentAnswerLossInterval() int {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	return d.answerLossInterval
}

func (d *Database) isUnresponsiveTo(instance string) bool {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	return d.unresponsiveTo[instance] || d.crashed
}

// startSession reads the fields of the START line and answers it. It reports false
// if the session was refused.
func (conn *connection) startSession(c net.Conn, fields []string) bool {
	d := conn.database
	if len(fields) < 3 || fields[0] != "START" || fields[1] != d.group.cfg.Service || (len(fields) > 3 && fields[3] != d.id) {
		fmt.Fprintf(conn.out, "ERROR WRONGNODE %s\r\n", d.id)
		_ = conn.out.Flush()
		return false
	}
	conn.instance = fields[2]
	d.group.mu.Lock()
	full := len(d.conns) >= d.group.cfg.MaxConnections
	if !full {
		d.conns[c] = conn.instance
		d.group.lastConnection++
		conn.number = d.group.lastConnection
	}
	position := d.position()
	d.group.mu.Unlock()
	if full {
		fmt.Fprintf(conn.out, "ERROR CONNLIMIT %s\r\n", d.id)
		_ = conn.out.Flush()
		return false
	}
	if d.isUnresponsiveTo(conn.instance) {
		return true
	}
	fmt.Fprintf(conn.out, "READY I %s\r\n", position)
	return conn.out.Flush() == nil
}

func (d *Database) position() string { return fmt.Sprintf("%d.%d", d.term, len(d.log)) }

// reply writes an answer; an empty code means success. conn.database.group.mu is
// not held.
func (conn *connection) reply(rows []string, code string) {
	for _, row := range rows {
		fmt.Fprintf(conn.out, "DATAROW %s\r\n", row)
	}
	if code != "" {
		if conn.beginID != "" {
			conn.failed = true
		}
		fmt.Fprintf(conn.out, "ERROR %s %s\r\n", code, conn.database.id)
	} else {
		fmt.Fprintf(conn.out, "COMPLETE sig.%s\r\n", conn.database.id)
	}
	state := "I"
	switch {
	case conn.failed:
		state = "E"
	case conn.beginID != "":
		state = "T"
	}
	conn.database.group.mu.Lock()
	position := conn.database.position()
	conn.database.group.mu.Unlock()
	fmt.Fprintf(conn.out, "READY %s %s\r\n", state, position)
}

func (conn *connection) query(line string) {
	fields := strings.SplitN(line, " ", 3)
	if len(fields) < 3 || fields[0] != "QUERY" {
		conn.reply(nil, "MALFORMED")
		return
	}
	id, text := fields[1], fields[2]
	conn.checkOrganisation(id, text)
	if rest, ok := strings.CutPrefix(text, "WAITFOR "); ok {
		position, stripped, _ := strings.Cut(rest, " ")
		if !conn.database.hasReached(position) {
			conn.reply(nil, "LAGGING")
			return
		}
		text = stripped
	}
	verb, rest, _ := strings.Cut(text, " ")
	if conn.failed && verb != "ROLLBACK" && verb != "COMMIT" {
		conn.reply(nil, "MALFORMED")
		return
	}
	switch verb {
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		conn.variables[name] = value
		conn.reply(nil, "")
	case "PREPARE":
		name, definition, _ := strings.Cut(rest, " ")
		conn.prepared[name] = definition
		conn.reply(nil, "")
	case "DEALLOC":
		delete(conn.prepared, rest)
		conn.reply(nil, "")
	case "RESET":
		clear(conn.variables)
		clear(conn.prepared)
		conn.reply(nil, "")
	case "STATUS", "PAUSE", "RESUME", "DEMOTE":
		conn.control(verb, rest)
	case "BEGIN":
		conn.begin(id, rest == "READ")
	case "ROLLBACK":
		conn.endTransaction()
		conn.reply(nil, "")
	case "COMMIT":
		conn.commit(id)
	case "READ":
		conn.execute(id, text, false, rest, "")
	case "WRITE":
		item, data, _ := strings.Cut(rest, " ")
		conn.execute(id, text, true, item, data)
	case "EXECUTE":
		name, args, _ := strings.Cut(rest, " ")
		definition, ok := conn.prepared[name]
		if !ok {
			conn.reply(nil, "NOTFOUND")
			return
		}
		item, data, _ := strings.Cut(args, " ")
		conn.execute(id, text, strings.HasPrefix(definition, "WRITE"), item, data)
	default:
		conn.reply(nil, "MALFORMED")
	}
}

// hasReached reports whether the log contains a position, given as TERM.NUMBER.
func (d *Database) hasReached(position string) bool {
	t, n, _ := strings.Cut(position, ".")
	term, err1 := strconv.ParseUint(t, 10, 64)
	number, err2 := strconv.Atoi(n)
	if err1 != nil || err2 != nil {
		return false
	}
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	return d.term >= term && number <= len(d.log) && (number == 0 || d.log[number-1].Term <= term)
}

func (conn *connection) control(verb, rest string) {
	d := conn.database
	term, _ := strconv.ParseUint(rest, 10, 64) // a missing term is 0
	d.group.mu.Lock()
	switch {
	case verb == "PAUSE" && !d.primary && term > d.term:
		d.paused, d.heldTerm = true, max(d.heldTerm, term)
	case verb == "RESUME":
		d.paused, d.heldTerm = false, 0
		d.group.replicate()
	case verb == "DEMOTE" && d.primary && d.term < term:
		d.becomeReplica()
	}
	role := "replica"
	if d.primary {
		role = "primary"
	}
	row := fmt.Sprintf("%s %d %s %d 0 %d %d", role, d.term, d.position(), d.heldTerm, len(d.slots), len(d.conns))
	d.group.mu.Unlock()
	conn.reply([]string{row}, "")
}

func (conn *connection) begin(id string, readOnly bool) {
	d := conn.database
	d.group.mu.Lock()
	refused := !readOnly && !d.primary
	term := d.term
	d.group.mu.Unlock()
	if refused {
		conn.reply(nil, "READONLY")
		return
	}
	conn.beginID, conn.readOnly, conn.beginTerm = id, readOnly, term
	conn.reply(nil, "")
}

// acquireSlot waits for a slot and then for the service time of a statement. It
// reports false if too many statements wait already.
func (conn *connection) acquireSlot() bool {
	d := conn.database
	d.group.mu.Lock()
	if d.queuedStatements >= maxQueuedStatements {
		d.group.mu.Unlock()
		return false
	}
	d.queuedStatements++
	d.group.mu.Unlock()
	d.slots <- struct{}{}
	d.group.mu.Lock()
	d.queuedStatements--
	d.group.mu.Unlock()
	time.Sleep(d.group.cfg.ServiceTime)
	return true
}

// mustRefuse reports whether a statement must be refused, because the database is
// not the primary, or no longer the primary of the term in which the transaction
// began. conn.database.group.mu is held.
func (conn *connection) mustRefuse(writes bool) bool {
	d := conn.database
	if conn.beginID != "" && !conn.readOnly {
		return !d.primary || d.term != conn.beginTerm
	}
	return writes && !d.primary
}

// execute runs a read or a write of an item in a slot and answers it. A write in a
// transaction is kept as pending until the commit.
func (conn *connection) execute(id, text string, writes bool, item, data string) {
	if !conn.acquireSlot() {
		conn.reply(nil, "THROTTLED")
		return
	}
	d := conn.database
	d.group.mu.Lock()
	<-d.slots
	if conn.mustRefuse(writes) || (writes && conn.readOnly) {
		d.group.mu.Unlock()
		conn.reply(nil, "READONLY")
		return
	}
	run := conn.newRun(id, text)
	var rows []string
	switch {
	case !writes:
		rows = []string{conn.latestValue(item)}
	case conn.beginID != "":
		conn.pending = append(conn.pending, Commit{Term: d.term, ID: id, Item: item, Data: data})
	default:
		run.Committed = conn.append([]Commit{{Term: d.term, ID: id, Item: item, Data: data}})
	}
	d.group.record(run)
	d.group.mu.Unlock()
	conn.reply(rows, "")
}

// newRun describes the execution of a statement. conn.database.group.mu is held.
func (conn *connection) newRun(id, text string) Run {
	return Run{
		At: time.Now(), Database: conn.database.id, Connection: conn.number, OpenedBy: conn.instance, ID: id, Text: text, BeginID: conn.beginID, Log: conn.database.log,
		Variables: maps.Clone(conn.variables), Superseded: conn.database.term < conn.database.group.term,
	}
}

// append adds commits to the log and replicates them. conn.database.group.mu is
// held.
func (conn *connection) append(commits []Commit) []Commit {
	d := conn.database
	d.log = append(d.log[:len(d.log):len(d.log)], commits...)
	d.group.replicate()
	return commits
}

// latestValue returns the latest value of an item, including pending writes of the
// transaction, or "-". conn.database.group.mu is held.
func (conn *connection) latestValue(item string) string {
	for i := len(conn.pending) - 1; i >= 0; i-- {
		if conn.pending[i].Item == item {
			return conn.pending[i].Data
		}
	}
	for i := len(conn.database.log) - 1; i >= 0; i-- {
		if conn.database.log[i].Item == item {
			return conn.database.log[i].Data
		}
	}
	return "-"
}

// endTransaction resets the transaction state and drops pending writes.
func (conn *connection) endTransaction() {
	conn.beginID, conn.readOnly, conn.failed, conn.pending = "", false, false, nil
}

func (conn *connection) commit(id string) {
	if conn.beginID == "" || conn.failed {
		conn.endTransaction()
		conn.reply(nil, "ABORTED")
		return
	}
	if !conn.acquireSlot() {
		conn.reply(nil, "THROTTLED")
		return
	}
	d := conn.database
	d.group.mu.Lock()
	<-d.slots
	if len(conn.pending) > 0 && conn.mustRefuse(true) {
		conn.endTransaction()
		d.group.mu.Unlock()
		conn.reply(nil, "READONLY")
		return
	}
	run := conn.newRun(id, "COMMIT")
	if len(conn.pending) > 0 {
		run.Committed = conn.append(conn.pending)
	}
	d.group.record(run)
	conn.endTransaction()
	d.group.mu.Unlock()
	conn.reply(nil, "")
}
