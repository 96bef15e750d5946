package load

import (
	"net"
	"strings"
	"sync"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
)

// fakeServer implements the part of the PostgreSQL protocol that simple queries
// need. If answer returns nil, the server sends an empty result. If it returns
// closeConnection, the server closes the connection; it sends any other error.
type fakeServer struct {
	address string
	answer  func(user, sql string) *pgproto3.ErrorResponse

	mu     sync.Mutex
	params []map[string]string // startup parameters by connection
}

var closeConnection = &pgproto3.ErrorResponse{Message: "close"}

func newFakeServer(t *testing.T, answer func(user, sql string) *pgproto3.ErrorResponse) *fakeServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &fakeServer{address: l.Addr().String(), answer: answer}
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			wg.Go(func() { s.serve(conn) })
		}
	})
	t.Cleanup(func() {
		l.Close()
		wg.Wait()
	})
	return s
}

func (s *fakeServer) serve(conn net.Conn) {
	defer conn.Close()
	b := pgproto3.NewBackend(conn, conn)
	m, err := b.ReceiveStartupMessage()
	start, ok := m.(*pgproto3.StartupMessage)
	if err != nil || !ok {
		return
	}
	s.mu.Lock()
	s.params = append(s.params, start.Parameters)
	s.mu.Unlock()
	b.Send(&pgproto3.AuthenticationOk{})
	b.Send(&pgproto3.ParameterStatus{Name: "standard_conforming_strings", Value: "on"})
	b.Send(&pgproto3.ParameterStatus{Name: "client_encoding", Value: "UTF8"})
	b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	for b.Flush() == nil {
		m, err := b.Receive()
		if err != nil {
			return
		}
		q, ok := m.(*pgproto3.Query)
		if !ok {
			return
		}
		switch e := s.answer(start.Parameters["user"], q.String); e {
		case nil:
			b.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 0")})
		case closeConnection:
			return
		default:
			b.Send(e)
		}
		b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	}
}

func pgError(code, message, detail string) *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{Severity: "ERROR", Code: code, Message: message, Detail: detail}
}

func isWrite(sql string) bool { return strings.Contains(sql, "INSERT") }
