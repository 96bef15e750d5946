package backend

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// fakeServer implements the part of the protocol that the tests need. answer gets
// the simple query, or the texts of the Parse messages joined by ";", and sends all
// messages before ReadyForQuery. It returns false to close the connection.
type fakeServer struct {
	l         net.Listener
	answer    func(b *pgproto3.Backend, sql string) bool
	mu        sync.Mutex
	cancelled chan pgproto3.CancelRequest
	conns     []net.Conn
	wg        sync.WaitGroup
}

func newFakeServer(t *testing.T, answer func(b *pgproto3.Backend, sql string) bool) (*fakeServer, Database) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &fakeServer{l: l, answer: answer, cancelled: make(chan pgproto3.CancelRequest, 1)}
	s.wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns = append(s.conns, c)
			s.mu.Unlock()
			s.wg.Go(func() { s.serve(c) })
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		s.closeConns()
		s.wg.Wait()
	})
	return s, NewPostgres(Config{Address: l.Addr().String(), User: "proxy", Password: "secret", DatabaseName: "ledger"})
}

func (s *fakeServer) closeConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		_ = c.Close()
	}
}

func (s *fakeServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	b := pgproto3.NewBackend(c, c)
	m, err := b.ReceiveStartupMessage()
	if err != nil {
		return
	}
	if r, ok := m.(*pgproto3.CancelRequest); ok {
		s.cancelled <- *r
		return
	}
	b.Send(&pgproto3.AuthenticationOk{})
	b.Send(&pgproto3.BackendKeyData{ProcessID: 7, SecretKey: []byte{0, 0, 0, 9}})
	b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	if b.Flush() != nil {
		return
	}
	var parses []string
	for {
		m, err := b.Receive()
		if err != nil {
			return
		}
		sql := ""
		switch m := m.(type) {
		case *pgproto3.Query:
			sql = m.String
		case *pgproto3.Parse:
			parses = append(parses, m.Query)
			continue
		case *pgproto3.Sync:
			sql, parses = strings.Join(parses, ";"), nil
		case *pgproto3.Terminate:
			return
		default:
			continue
		}
		if !s.answer(b, sql) {
			return
		}
		b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
		if b.Flush() != nil {
			return
		}
	}
}

func sendStatus(b *pgproto3.Backend, values ...string) {
	row := &pgproto3.DataRow{}
	for _, v := range values {
		row.Values = append(row.Values, []byte(v))
	}
	b.Send(&pgproto3.RowDescription{})
	b.Send(row)
	b.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
}

// withPrimaryStatus returns an answer function that answers status queries as a
// primary and passes other queries to f.
func withPrimaryStatus(f func(b *pgproto3.Backend, sql string) bool) func(*pgproto3.Backend, string) bool {
	return func(b *pgproto3.Backend, sql string) bool {
		if sql == statusSQL {
			sendStatus(b, "3", "primary", "3", "41", "0", "f")
			return true
		}
		return f(b, sql)
	}
}

func sendRow(b *pgproto3.Backend, tag string, size int) {
	b.Send(&pgproto3.DataRow{Values: [][]byte{make([]byte, size)}})
	b.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

func encode(t *testing.T, msgs ...pgproto3.FrontendMessage) []byte {
	t.Helper()
	var out []byte
	for _, m := range msgs {
		var err error
		if out, err = m.Encode(out); err != nil {
			t.Fatal(err)
		}
	}
	return out
}

func connect(t *testing.T, d Database) Conn {
	t.Helper()
	c, err := d.Connect(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

func runBatch(c Conn, batch []byte, injected ...uint32) (Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	return c.Run(ctx, Batch{Messages: batch, InjectedParses: injected}, true, 1000, func() {})
}

var errTimeout = errors.New("condition did not become true")

// eventually waits for a condition that another goroutine makes true.
func eventually(f func() bool) error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if f() {
			return nil
		}
	}
	return errTimeout
}
