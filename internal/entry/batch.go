package entry

import (
	"io"
	"slices"

	"github.com/jackc/pgx/v5/pgproto3"

	"geraniumbeam/internal/result"
	"geraniumbeam/internal/route"
)

// preparedStatement is a prepared statement of a session. It is kept here, because
// backend connections are shared; a batch parses it again where it uses it.
type preparedStatement struct {
	sql    string
	types  []uint32
	script *route.Script
}

// maxPreparedStatements limits the prepared statements of one session.
const maxPreparedStatements = 4096

// batch is the unit that is run and answered at once: a simple query, or the
// messages of the extended protocol up to Sync.
type batch struct {
	id                string // of the request; empty until there is one
	simple            bool
	messages          []byte   // for the backend, in wire format
	injected          []uint32 // indexes of the Parse messages that the caller did not send
	parseCount        uint32   // Parse messages in messages
	executes          bool     // contains a Query or Execute message
	needsDatabase     bool     // contains a message that only a database can answer
	usesEarlierPortal bool     // executes a portal that an earlier batch bound
	portals           []string // bound by this batch
	scripts           []*route.Script
	local             []localMessage
	updates           []statementUpdate
	unnamed           *preparedStatement            // the backend's unnamed statement after messages
	pending           map[string]*preparedStatement // statements that this batch prepares, or closes (nil)
	err               error                         // the batch is refused with it
	errSent           bool                          // err was sent at a Flush
	endedByFlush      bool                          // ended by Flush: the answer has no ReadyForQuery
}

// statementUpdate is a change of the session's statements that is applied when the
// backend confirms it.
type statementUpdate struct {
	confirmedBy byte // type of the confirming message: '1' ParseComplete, '3' CloseComplete
	name        string
	stmt        *preparedStatement // nil: remove
	ignore      bool               // the message confirms the Close of a portal
}

// setError keeps the first error. The rest of the batch is skipped, as in
// PostgreSQL.
func (b *batch) setError(err error) {
	if b.err == nil && err != nil {
		b.err = err
	}
}

// readBatch reads messages up to Sync, or one simple query. It returns nil if the
// caller terminates the connection.
func (c *callerConn) readBatch(kind byte) (*batch, error) {
	b := &batch{err: c.skipUntilSync, errSent: c.skipUntilSync != nil}
	c.skipUntilSync = nil
	for {
		body, err := c.reader.readBody()
		if tooLarge := result.Is(err, result.MessageTooLarge); err != nil && !tooLarge {
			return nil, err
		} else if tooLarge {
			b.setError(err)
		}
		switch kind {
		case 'X':
			return nil, nil
		case 'S':
			b.messages = append(b.messages, syncMessage...)
			return b, nil
		case 'H':
			if b.err == nil && b.onlyPrepares() {
				b.messages = append(b.messages, syncMessage...)
				b.endedByFlush = true
				return b, nil
			}
		case 'Q':
			b.addQuery(c, body)
			return b, nil
		}
		if b.err == nil {
			b.setError(c.addExtended(b, kind, body))
		}
		if len(b.messages) > c.reader.maxBody {
			b.setError(result.Errorf(result.MessageTooLarge, "messages of the batch exceed the limit of %d bytes", c.reader.maxBody))
			b.messages = nil
		}
		if err := c.sendErrorAtFlush(b, kind); err != nil {
			return nil, err
		}
		if kind, err = c.reader.readType(); err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
}

// syncMessage is an encoded Sync.
var syncMessage = []byte{'S', 0, 0, 0, 4}

// onlyPrepares reports whether the batch only parses, describes or closes. Such a
// batch can be run at a Flush, because nothing in it depends on a transaction.
func (b *batch) onlyPrepares() bool {
	if b.executes || len(b.portals) > 0 {
		return false
	}
	for _, m := range b.local {
		if m.kind == 'B' {
			return false
		}
	}
	return len(b.messages) > 0 || len(b.local) > 0
}

// sendErrorAtFlush sends the error of the batch if the message is a Flush, because
// the caller then waits for an answer before it sends Sync.
func (c *callerConn) sendErrorAtFlush(b *batch, kind byte) error {
	if kind != 'H' || b.err == nil || b.errSent {
		return nil
	}
	b.errSent = true
	e := result.From(b.err)
	b.id = c.server.recordRefusal(e)
	return c.write(appendError(nil, "ERROR", e, b.id))
}

func (b *batch) addQuery(c *callerConn, body []byte) {
	b.simple = true
	if len(b.messages) > 0 || len(b.local) > 0 {
		b.setError(result.Errorf(result.ProtocolViolation, "simple query before the Sync of extended messages"))
	}
	var q pgproto3.Query
	if b.err == nil {
		b.setError(decode(&q, body))
	}
	if b.err != nil {
		return
	}
	script := route.Classify(q.String)
	b.scripts = append(b.scripts, script)
	b.executes = true
	local, err := c.checkScript(script)
	b.setError(err)
	if local || len(script.Statements) == 0 {
		b.local = append(b.local, localMessage{kind: 'Q', script: script})
		return
	}
	b.needsDatabase = true
	b.messages = encode(b.messages, &q)
}

// addExtended adds one message of the extended protocol to the batch.
func (c *callerConn) addExtended(b *batch, kind byte, body []byte) error {
	switch kind {
	case 'P':
		return c.parse(b, body)
	case 'B':
		return c.bind(b, body)
	case 'D':
		return c.describe(b, body)
	case 'E':
		return c.executePortal(b, body)
	case 'C':
		return c.closeObject(b, body)
	case 'H':
		if len(b.messages) == 0 && len(b.local) == 0 {
			return nil
		}
		return result.Errorf(result.NotSupported, "Flush after Bind is not supported: a batch is answered at Sync")
	case 'F':
		return result.Errorf(result.NotSupported, "function calls are not supported: use SELECT")
	case 'd', 'c', 'f':
		return nil // copy data after a refused COPY is ignored, as in PostgreSQL
	}
	return result.Errorf(result.ProtocolViolation, "unexpected message type %q", kind)
}

func (c *callerConn) parse(b *batch, body []byte) error {
	var m pgproto3.Parse
	if err := decode(&m, body); err != nil {
		return err
	}
	if m.Name != "" && c.lookupStatement(b, m.Name) != nil {
		return result.Errorf(result.ProtocolViolation, "prepared statement %q already exists", m.Name)
	}
	if len(c.statements)+len(b.pending) >= maxPreparedStatements {
		return result.Errorf(result.NotSupported, "the session has reached the limit of %d prepared statements", maxPreparedStatements)
	}
	p := &preparedStatement{sql: m.Query, types: append([]uint32(nil), m.ParameterOIDs...), script: route.Classify(m.Query)}
	local, err := c.checkScript(p.script)
	if err != nil {
		return err
	}
	b.scripts = append(b.scripts, p.script)
	b.setPending(m.Name, p)
	if local {
		b.local = append(b.local, localMessage{kind: 'P', name: m.Name, script: p.script, stmt: p})
		return nil
	}
	b.needsDatabase = true
	b.appendParse(p)
	b.updates = append(b.updates, statementUpdate{confirmedBy: '1', name: m.Name, stmt: p})
	return nil
}

func (b *batch) appendParse(p *preparedStatement) {
	b.messages = encode(b.messages, &pgproto3.Parse{Query: p.sql, ParameterOIDs: p.types})
	b.parseCount++
	b.unnamed = p
}

func (b *batch) setPending(name string, p *preparedStatement) {
	if b.pending == nil {
		b.pending = make(map[string]*preparedStatement)
	}
	b.pending[name] = p
}

// lookupStatement returns a statement with the changes of the batch so far, or nil.
func (c *callerConn) lookupStatement(b *batch, name string) *preparedStatement {
	if p, ok := b.pending[name]; ok {
		return p
	}
	return c.statements[name]
}

// useStatement makes a statement the backend's unnamed one, unless it is answered
// locally. It adds a Parse message if another statement is the unnamed one.
func (c *callerConn) useStatement(b *batch, name string) (*preparedStatement, error) {
	p := c.lookupStatement(b, name)
	if p == nil {
		return nil, result.Errorf(result.UnknownStatement, "prepared statement %q does not exist", name)
	}
	if isLocal(p.script) {
		return p, nil
	}
	b.needsDatabase = true
	if b.unnamed != p {
		b.injected = append(b.injected, b.parseCount)
		b.appendParse(p)
		b.scripts = append(b.scripts, p.script)
	}
	return p, nil
}

func (c *callerConn) bind(b *batch, body []byte) error {
	var m pgproto3.Bind
	if err := decode(&m, body); err != nil {
		return err
	}
	p, err := c.useStatement(b, m.PreparedStatement)
	if err != nil {
		return err
	}
	if isLocal(p.script) {
		b.local = append(b.local, localMessage{kind: 'B', name: m.DestinationPortal, script: p.script})
		return nil
	}
	m.PreparedStatement = ""
	b.portals = append(b.portals, m.DestinationPortal)
	b.messages = encode(b.messages, &m)
	return nil
}

func (c *callerConn) describe(b *batch, body []byte) error {
	var m pgproto3.Describe
	if err := decode(&m, body); err != nil {
		return err
	}
	switch m.ObjectType {
	case 'S':
		p, err := c.useStatement(b, m.Name)
		if err != nil {
			return err
		}
		if isLocal(p.script) {
			b.local = append(b.local, localMessage{kind: 'S', script: p.script})
			return nil
		}
		m.Name = ""
	case 'P':
		if script := b.localPortal(m.Name); script != nil {
			b.local = append(b.local, localMessage{kind: 'D', script: script})
			return nil
		}
		b.needsDatabase = true
	default:
		return result.Errorf(result.ProtocolViolation, "invalid object type %q in Describe: want S or P", m.ObjectType)
	}
	b.messages = encode(b.messages, &m)
	return nil
}

func (c *callerConn) executePortal(b *batch, body []byte) error {
	var m pgproto3.Execute
	if err := decode(&m, body); err != nil {
		return err
	}
	b.executes = true
	if script := b.localPortal(m.Portal); script != nil {
		b.local = append(b.local, localMessage{kind: 'E', script: script})
		return nil
	}
	b.needsDatabase = true
	b.usesEarlierPortal = b.usesEarlierPortal || !slices.Contains(b.portals, m.Portal)
	b.messages = encode(b.messages, &m)
	return nil
}

// closeObject adds a Close. It is forwarded even if the backend has no such object,
// so that the answers stay in the order of the messages.
func (c *callerConn) closeObject(b *batch, body []byte) error {
	var m pgproto3.Close
	if err := decode(&m, body); err != nil {
		return err
	}
	e := statementUpdate{confirmedBy: '3', name: m.Name, ignore: m.ObjectType != 'S'}
	if m.ObjectType == 'S' {
		b.setPending(m.Name, nil)
		b.unnamed = nil
		m.Name = ""
	}
	b.updates = append(b.updates, e)
	b.local = append(b.local, localMessage{kind: 'C', name: e.name, forwardable: true})
	b.messages = encode(b.messages, &m)
	return nil
}

// localPortal returns the script of a portal that this batch bound without a
// database, or nil.
func (b *batch) localPortal(name string) *route.Script {
	for i := len(b.local) - 1; i >= 0; i-- {
		if m := b.local[i]; m.kind == 'B' && m.name == name {
			return m.script
		}
	}
	return nil
}

// isMixed reports whether the batch has both statements for the proxy and
// statements for a database.
func (b *batch) isMixed() bool {
	if !b.needsDatabase {
		return false
	}
	for _, m := range b.local {
		if !m.forwardable {
			return true
		}
	}
	return false
}

func decode(m pgproto3.FrontendMessage, body []byte) error {
	if err := m.Decode(body); err != nil {
		return result.Errorf(result.ProtocolViolation, "malformed message: %w", err)
	}
	return nil
}
