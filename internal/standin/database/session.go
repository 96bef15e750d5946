package database

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"io"
	"net"

	"github.com/jackc/pgx/v5/pgproto3"
)

// maxMessage is the size limit for messages of clients in bytes.
const maxMessage = 64 << 20

// replicationParameter is the startup parameter that marks the connection of a
// replica.
const replicationParameter = "geraniumbeam_replication"

// session is one client connection.
type session struct {
	server  *Server
	backend *pgproto3.Backend
	pid     uint32
	secret  []byte

	tx         transaction
	statements map[string]*preparedStatement
	portals    map[string]*portal
	skipToSync bool // an error occurred in the extended protocol

	ctx        context.Context    // cancelled when the server stops
	cancelStmt context.CancelFunc // cancels the running statement; guarded by server.connMu
}

// serveConnection handles the startup messages of a connection and then serves a
// session or a replica until the connection ends.
func (s *Server) serveConnection(ctx context.Context, c net.Conn) {
	b := pgproto3.NewBackend(c, c)
	b.SetMaxBodyLen(maxMessage)
	for {
		msg, err := b.ReceiveStartupMessage()
		if err != nil {
			return
		}
		switch m := msg.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := c.Write([]byte{'N'}); err != nil {
				return
			}
		case *pgproto3.CancelRequest:
			s.cancelStatement(m.ProcessID, m.SecretKey)
			return
		case *pgproto3.StartupMessage:
			if m.Parameters[replicationParameter] != "" {
				s.sendLog(ctx, c)
				return
			}
			s.startSession(ctx, b)
			return
		}
	}
}

func (s *Server) startSession(ctx context.Context, b *pgproto3.Backend) {
	se := &session{
		server:     s,
		backend:    b,
		statements: make(map[string]*preparedStatement),
		portals:    make(map[string]*portal),
		ctx:        ctx,
	}
	if !s.addSession(se) {
		se.sendError(errorf(stateTooManyConnections, "sorry, too many clients already"))
		_ = b.Flush()
		return
	}
	defer s.removeSession(se)
	if sleep(ctx, loadDuration(&s.connectDelay)) != nil {
		return
	}
	se.sendStartupResponse()
	if b.Flush() != nil {
		return
	}
	defer se.rollBackOpen()
	se.serveMessages()
}

func (s *Server) addSession(se *session) bool {
	s.connMu.Lock()
	defer s.connMu.Unlock()
	if int64(len(s.sessions)) >= s.connectionLimit.Load() {
		return false
	}
	s.nextPID++
	se.pid = s.nextPID
	se.secret = binary.BigEndian.AppendUint32(nil, randomUint32())
	s.sessions[se.pid] = se
	return true
}

func randomUint32() uint32 {
	var b [4]byte
	_, _ = rand.Read(b[:])
	return binary.BigEndian.Uint32(b[:])
}

func (s *Server) removeSession(se *session) {
	s.connMu.Lock()
	defer s.connMu.Unlock()
	delete(s.sessions, se.pid)
}

// cancelStatement cancels the statement that a session is running, if the secret
// matches.
func (s *Server) cancelStatement(pid uint32, secret []byte) {
	s.connMu.Lock()
	defer s.connMu.Unlock()
	se, ok := s.sessions[pid]
	if ok && string(se.secret) == string(secret) && se.cancelStmt != nil {
		se.cancelStmt()
	}
}

// statementContext returns a context that a cancel request cancels, and a function
// to call after the statement.
func (se *session) statementContext() (context.Context, func()) {
	ctx, cancel := context.WithCancel(se.ctx)
	se.server.connMu.Lock()
	se.cancelStmt = cancel
	se.server.connMu.Unlock()
	return ctx, func() {
		se.server.connMu.Lock()
		se.cancelStmt = nil
		se.server.connMu.Unlock()
		cancel()
	}
}

func (se *session) sendStartupResponse() {
	se.backend.Send(&pgproto3.AuthenticationOk{})
	for _, p := range [][2]string{
		{"server_version", "16.4"},
		{"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"},
		{"TimeZone", "UTC"},
		{"integer_datetimes", "on"},
		{"standard_conforming_strings", "on"},
	} {
		se.backend.Send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	se.backend.Send(&pgproto3.BackendKeyData{ProcessID: se.pid, SecretKey: se.secret})
	se.sendReady()
}

func (se *session) sendReady() {
	se.backend.Send(&pgproto3.ReadyForQuery{TxStatus: se.tx.status()})
}

func (se *session) sendError(err error) {
	e := toSQLError(err)
	se.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: e.state, Message: e.message})
}

// rollBackOpen rolls back the transaction that a closed connection left open.
func (se *session) rollBackOpen() {
	if se.tx.write != nil {
		_ = se.server.endWrite(se.tx.write, false)
	}
	se.tx = transaction{}
}

func (se *session) serveMessages() {
	for {
		msg, err := se.backend.Receive()
		if err != nil {
			var tooLong *pgproto3.ExceededMaxBodyLenErr
			if errors.As(err, &tooLong) {
				se.sendError(errorf(stateProtocol, "message exceeds the limit of %d bytes", maxMessage))
				_ = se.backend.Flush()
			} else if !errors.Is(err, io.EOF) && se.ctx.Err() == nil {
				se.server.logger.Debug().Err(err).Msg("Connection failed.")
			}
			return
		}
		switch msg.(type) {
		case *pgproto3.Terminate:
			return
		case *pgproto3.Sync:
			se.sync()
		default:
			if !se.skipToSync {
				se.dispatch(msg)
			}
		}
		switch msg.(type) {
		case *pgproto3.Sync, *pgproto3.Query, *pgproto3.Flush:
			if se.backend.Flush() != nil {
				return
			}
		}
	}
}

// dispatch handles a message other than Sync. After an error in the extended
// protocol, messages up to the next Sync are ignored.
func (se *session) dispatch(msg pgproto3.FrontendMessage) {
	var err error
	switch m := msg.(type) {
	case *pgproto3.Query:
		se.simpleQuery(m.String)
		return
	case *pgproto3.Parse:
		err = se.parse(m)
	case *pgproto3.Bind:
		err = se.bind(m)
	case *pgproto3.Describe:
		err = se.describe(m)
	case *pgproto3.Execute:
		err = se.execute(m)
	case *pgproto3.Close:
		se.closeObject(m)
	case *pgproto3.Flush:
	default:
		err = errorf(stateProtocol, "message %T is not supported", msg)
	}
	if err != nil {
		se.sendError(err)
		se.tx.fail()
		se.skipToSync = true
	}
}

// sync ends the implicit transaction of the extended protocol.
func (se *session) sync() {
	se.skipToSync = false
	if !se.tx.explicit {
		if err := se.endTransaction(!se.tx.failed); err != nil {
			se.sendError(err)
		}
		clear(se.portals)
	}
	se.sendReady()
}
