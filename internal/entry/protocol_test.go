package entry

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"geraniumbeam/internal/catalog"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/settings"
	"geraniumbeam/internal/wire"
)

// raw is a caller that sends what it wants.
type raw struct {
	t    testing.TB
	conn net.Conn
	fe   *pgproto3.Frontend
}

func (f *fixture) raw() *raw {
	f.t.Helper()
	conn, err := net.Dial("tcp", f.address)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = conn.Close() })
	return &raw{f.t, conn, pgproto3.NewFrontend(conn, conn)}
}

func (r *raw) send(bytes ...byte) {
	r.t.Helper()
	if _, err := r.conn.Write(bytes); err != nil {
		r.t.Fatal(err)
	}
}

func (r *raw) messages(ms ...pgproto3.FrontendMessage) {
	r.t.Helper()
	for _, m := range ms {
		r.fe.Send(m)
	}
	if err := r.fe.Flush(); err != nil {
		r.t.Fatal(err)
	}
}

func (r *raw) startup(params map[string]string) {
	r.t.Helper()
	r.messages(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: params})
}

// until reads messages up to ReadyForQuery or the end of the connection and
// returns their types; errors include severity, SQLSTATE and number.
func (r *raw) until() string {
	r.t.Helper()
	var out []string
	for {
		m, err := r.fe.Receive()
		if err != nil {
			return strings.Join(append(out, "closed"), " ")
		}
		switch m := m.(type) {
		case *pgproto3.ReadyForQuery:
			return strings.Join(append(out, "Ready:"+string(m.TxStatus)), " ")
		case *pgproto3.ErrorResponse:
			out = append(out, fmt.Sprintf("%s:%s:%.6s", m.Severity, m.Code, m.Message))
		case *pgproto3.ParameterStatus:
		default:
			out = append(out, strings.TrimPrefix(fmt.Sprintf("%T", m), "*pgproto3."))
		}
	}
}

func ann() map[string]string { return map[string]string{"user": "ann", "database": "huts"} }

func with(name, value string) map[string]string {
	p := ann()
	p[name] = value
	return p
}

// Guards against startup packets that are accepted although they are damaged,
// ask for what is not offered, or name what does not exist.
func TestStartup(t *testing.T) {
	f := start(t, nil)
	for name, tc := range map[string]struct {
		params map[string]string
		want   string
	}{
		"plain":             {ann(), "AuthenticationOk BackendKeyData Ready:I"},
		"options":           {with("options", `-c geraniumbeam.class=quick --geraniumbeam.partition=a\ b`), "AuthenticationOk BackendKeyData Ready:I"},
		"option value":      {with("options", "-c geraniumbeam.class=nope"), "FATAL:22023:GB1003 closed"},
		"option form":       {with("options", "-x"), "FATAL:22023:GB1004 closed"},
		"driver settings":   {with("client_encoding", "utf-8"), "AuthenticationOk BackendKeyData Ready:I"},
		"wrong encoding":    {with("client_encoding", "latin1"), "FATAL:0A000:GB1006 closed"},
		"session setting":   {with("search_path", "x"), "FATAL:0A000:GB1006 closed"},
		"replication":       {with("replication", "true"), "FATAL:0A000:GB1006 closed"},
		"unknown service":   {with("database", "nope"), "FATAL:3D000:GB1002 closed"},
		"unknown class":     {with("geraniumbeam.class", "nope"), "FATAL:22023:GB1003 closed"},
		"unknown parameter": {with("geraniumbeam.nope", "1"), "FATAL:22023:GB1004 closed"},
		"damaged token":     {with("geraniumbeam.session", "AAAA"), "FATAL:28000:GB1005 closed"},
		"no user":           {map[string]string{"database": "huts"}, "FATAL:08P01:GB1001 closed"},
	} {
		t.Run(name, func(t *testing.T) {
			r := f.raw()
			r.startup(tc.params)
			if got := r.until(); got != tc.want {
				t.Errorf("got %q, want %q", got, tc.want)
			}
		})
	}
	for name, packet := range map[string][]byte{
		"protocol 2":     {0, 0, 0, 9, 0, 2, 0, 0, 0},
		"too short":      {0, 0, 0, 4},
		"too long":       {0x7f, 0, 0, 0, 0, 3, 0, 0},
		"no terminator":  {0, 0, 0, 12, 0, 3, 0, 0, 'u', 's', 'e', 'r'},
		"no parameters":  {0, 0, 0, 9, 0, 3, 0, 0, 0},
		"name, no value": {0, 0, 0, 14, 0, 3, 0, 0, 'u', 's', 'e', 'r', 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			r := f.raw()
			r.send(packet...)
			if got := r.until(); got != "FATAL:08P01:GB1001 closed" {
				t.Errorf("got %q", got)
			}
		})
	}
}

// Guards against a refusal of encryption that breaks the connection, and
// against a newer protocol version or option that is not negotiated down.
func TestNegotiation(t *testing.T) {
	f := start(t, nil)
	r := f.raw()
	for _, code := range []byte{0x2f, 0x30} { // SSLRequest, GSSENCRequest
		r.send(0, 0, 0, 8, 0x04, 0xd2, 0x16, code)
		var b [1]byte
		if _, err := io.ReadFull(r.conn, b[:]); err != nil || b[0] != 'N' {
			t.Fatalf("answer %q %v", b, err)
		}
	}
	r.messages(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion32, Parameters: with("_pq_.x", "1")})
	if got := r.until(); got != "NegotiateProtocolVersion AuthenticationOk BackendKeyData Ready:I" {
		t.Errorf("got %q", got)
	}
}

// Guards against a caller that sends half a packet and keeps its slot.
func TestStartupTimeout(t *testing.T) {
	f := start(t, func(s *settings.Settings) { s.Callers.StartupTimeout = catalog.Duration(10 * time.Millisecond) })
	r := f.raw()
	r.send(0, 0, 0, 20, 0)
	if got := r.until(); got != "FATAL:08P01:GB1001 closed" {
		t.Errorf("got %q", got)
	}
}

// Guards against half a message that is run, or whose caller stays registered.
func TestHalfMessage(t *testing.T) {
	f := start(t, nil)
	for _, half := range [][]byte{{'Q'}, {'Q', 0, 0}, append([]byte{'Q', 0, 0, 0, 90}, "insert into huts values (1)"...)} {
		r := f.raw()
		r.startup(ann())
		r.until()
		r.send(half...)
		_ = r.conn.Close()
	}
	f.eventually("the end of the callers", func() bool { return f.server.Callers() == 0 })
	if got := f.cluster.seen(); len(got) != 0 {
		t.Errorf("calls %v", got)
	}
}

// Guards against callers beyond the limit.
func TestMaxConnections(t *testing.T) {
	f := start(t, func(s *settings.Settings) { s.Callers.MaxConnections = 1 })
	f.connect("")
	r := f.raw()
	r.startup(ann())
	if got := r.until(); got != "FATAL:53300:GB3004 closed" || f.server.Callers() != 1 {
		t.Errorf("got %q with %d callers", got, f.server.Callers())
	}
}

// Guards against messages that break the order of answers or the session: an
// error refuses the whole batch and the next batch works.
func TestBatches(t *testing.T) {
	f := start(t, func(s *settings.Settings) { s.Callers.MaxMessage = 200 })
	r := f.raw()
	r.startup(ann())
	r.until()
	parse := func(name, sql string) pgproto3.FrontendMessage { return &pgproto3.Parse{Name: name, Query: sql} }
	bind := func(name string) pgproto3.FrontendMessage { return &pgproto3.Bind{PreparedStatement: name} }
	execute, sync := &pgproto3.Execute{}, &pgproto3.Sync{}
	type batch []pgproto3.FrontendMessage
	for _, tc := range []struct {
		name string
		send batch
		want string
	}{
		{"prepare", batch{parse("a", "select 1"), &pgproto3.Describe{ObjectType: 'S', Name: "a"}, sync}, "ParseComplete ParameterDescription RowDescription Ready:I"},
		{"use later", batch{bind("a"), execute, sync}, "BindComplete DataRow CommandComplete Ready:I"},
		{"use twice", batch{bind("a"), execute, parse("", "insert into huts values (1)"), bind(""), execute, bind("a"), execute, sync}, "BindComplete DataRow CommandComplete ParseComplete BindComplete CommandComplete BindComplete DataRow CommandComplete Ready:I"},
		{"unnamed stays", batch{bind(""), execute, sync}, "BindComplete CommandComplete Ready:I"},
		{"same name", batch{parse("a", "select 2"), bind("a"), execute, sync}, "ERROR:08P01:GB1009 Ready:I"},
		{"close and name again", batch{&pgproto3.Close{ObjectType: 'S', Name: "a"}, parse("a", "select 2"), sync}, "CloseComplete ParseComplete Ready:I"},
		{"close", batch{&pgproto3.Close{ObjectType: 'S', Name: "a"}, sync}, "CloseComplete Ready:I"},
		{"unknown", batch{bind("a"), execute, sync}, "ERROR:26000:GB1010 Ready:I"},
		{"sync", batch{sync}, "Ready:I"},
		{"empty", batch{&pgproto3.Query{String: "-- ping"}}, "EmptyQueryResponse Ready:I"},
		{"show", batch{parse("s", "show geraniumbeam.class"), &pgproto3.Describe{ObjectType: 'S', Name: "s"}, sync}, "ParseComplete ParameterDescription RowDescription Ready:I"},
		{"show later", batch{bind("s"), &pgproto3.Describe{ObjectType: 'P'}, execute, sync}, "BindComplete RowDescription DataRow CommandComplete Ready:I"},
		{"mixed", batch{bind("s"), execute, parse("", "select 1"), sync}, "ERROR:0A000:GB1006 Ready:I"},
		{"flush after prepare", batch{&pgproto3.Flush{}, parse("", "select 1"), &pgproto3.Describe{ObjectType: 'S'}, &pgproto3.Flush{}, bind(""), execute, sync}, "ParseComplete ParameterDescription RowDescription BindComplete DataRow CommandComplete Ready:I"},
		{"error at flush", batch{&pgproto3.Describe{ObjectType: 'S', Name: "nope"}, &pgproto3.Flush{}, parse("", "select 1"), sync}, "ERROR:26000:GB1010 Ready:I"},
		{"refusal at flush", batch{parse("", "listen a"), &pgproto3.Flush{}, bind(""), execute, sync}, "ERROR:0A000:GB1006 Ready:I"},
		{"flush after bind", batch{parse("", "select 1"), bind(""), &pgproto3.Flush{}, sync}, "ERROR:0A000:GB1006 Ready:I"},
		{"too large", batch{&pgproto3.Query{String: strings.Repeat("x", 201)}}, "ERROR:54000:GB1007 Ready:I"},
		{"too large together", batch{parse("", strings.Repeat("x", 120)), parse("", strings.Repeat("x", 120)), sync}, "ERROR:54000:GB1007 Ready:I"},
		{"function call", batch{&pgproto3.FunctionCall{}, sync}, "ERROR:0A000:GB1006 Ready:I"},
		{"copy data", batch{&pgproto3.CopyData{}, &pgproto3.CopyDone{}, sync}, "Ready:I"},
		{"password", batch{&pgproto3.PasswordMessage{}, sync}, "ERROR:08P01:GB1009 Ready:I"},
		{"query inside", batch{parse("", "select 1"), &pgproto3.Query{String: "select 1"}}, "ERROR:08P01:GB1009 Ready:I"},
		{"still works", batch{&pgproto3.Query{String: "select 1"}}, "RowDescription DataRow CommandComplete Ready:I"},
	} {
		r.messages(tc.send...)
		if got := r.until(); got != tc.want {
			t.Fatalf("%s: got %q, want %q", tc.name, got, tc.want)
		}
	}
	f.cluster.set(func() {
		f.cluster.intercept = func(_ string, req *wire.ExecuteRequest) (*wire.ExecuteResponse, error) {
			return refusal(req, result.Errorf(result.Overloaded, "full")), nil
		}
	})
	r.messages(parse("", "select 1"), &pgproto3.Flush{}, bind(""), execute, sync)
	if got := r.until(); got != "ERROR:53300:GB3001 Ready:I" {
		t.Errorf("error from a pool at flush: got %q", got)
	}
	r.send('Q', 0, 0, 0, 3)
	if got := r.until(); got != "FATAL:08P01:GB1009 closed" {
		t.Errorf("invalid length: got %q", got)
	}
}
