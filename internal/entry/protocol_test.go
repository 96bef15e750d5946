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

// rawConn is a connection to the server on which a test sends messages or bytes.
type rawConn struct {
	t    testing.TB
	conn net.Conn
	fe   *pgproto3.Frontend
}

func (f *fixture) dialRaw() *rawConn {
	f.t.Helper()
	conn, err := net.Dial("tcp", f.address)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = conn.Close() })
	return &rawConn{f.t, conn, pgproto3.NewFrontend(conn, conn)}
}

func (r *rawConn) sendBytes(bytes ...byte) {
	r.t.Helper()
	if _, err := r.conn.Write(bytes); err != nil {
		r.t.Fatal(err)
	}
}

func (r *rawConn) sendMessages(ms ...pgproto3.FrontendMessage) {
	r.t.Helper()
	for _, m := range ms {
		r.fe.Send(m)
	}
	if err := r.fe.Flush(); err != nil {
		r.t.Fatal(err)
	}
}

func (r *rawConn) sendStartup(params map[string]string) {
	r.t.Helper()
	r.sendMessages(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: params})
}

// readUntilReady reads messages up to ReadyForQuery or the end of the connection and
// returns their types. Errors include severity, SQLSTATE and result code.
func (r *rawConn) readUntilReady() string {
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

func startupParams() map[string]string { return map[string]string{"user": "ann", "database": "huts"} }

func startupParamsWith(name, value string) map[string]string {
	p := startupParams()
	p[name] = value
	return p
}

// Guards against accepting startup packets that are malformed, ask for unsupported
// features or name unknown services, classes or parameters.
func TestStartup(t *testing.T) {
	f := newFixture(t, nil)
	for name, tc := range map[string]struct {
		params map[string]string
		want   string
	}{
		"plain":             {startupParams(), "AuthenticationOk BackendKeyData Ready:I"},
		"options":           {startupParamsWith("options", `-c geraniumbeam.class=quick --geraniumbeam.partition=a\ b`), "AuthenticationOk BackendKeyData Ready:I"},
		"option value":      {startupParamsWith("options", "-c geraniumbeam.class=nope"), "FATAL:22023:GB1003 closed"},
		"option form":       {startupParamsWith("options", "-x"), "FATAL:22023:GB1004 closed"},
		"driver settings":   {startupParamsWith("client_encoding", "utf-8"), "AuthenticationOk BackendKeyData Ready:I"},
		"wrong encoding":    {startupParamsWith("client_encoding", "latin1"), "FATAL:0A000:GB1006 closed"},
		"session setting":   {startupParamsWith("search_path", "x"), "FATAL:0A000:GB1006 closed"},
		"replication":       {startupParamsWith("replication", "true"), "FATAL:0A000:GB1006 closed"},
		"unknown service":   {startupParamsWith("database", "nope"), "FATAL:3D000:GB1002 closed"},
		"unknown class":     {startupParamsWith("geraniumbeam.class", "nope"), "FATAL:22023:GB1003 closed"},
		"unknown parameter": {startupParamsWith("geraniumbeam.nope", "1"), "FATAL:22023:GB1004 closed"},
		"damaged token":     {startupParamsWith("geraniumbeam.session", "AAAA"), "FATAL:28000:GB1005 closed"},
		"no user":           {map[string]string{"database": "huts"}, "FATAL:08P01:GB1001 closed"},
	} {
		t.Run(name, func(t *testing.T) {
			r := f.dialRaw()
			r.sendStartup(tc.params)
			if got := r.readUntilReady(); got != tc.want {
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
			r := f.dialRaw()
			r.sendBytes(packet...)
			if got := r.readUntilReady(); got != "FATAL:08P01:GB1001 closed" {
				t.Errorf("got %q", got)
			}
		})
	}
}

// Guards against a connection that fails after its encryption request was refused,
// and against newer protocol versions or options that are not negotiated down.
func TestNegotiation(t *testing.T) {
	f := newFixture(t, nil)
	r := f.dialRaw()
	for _, code := range []byte{0x2f, 0x30} { // SSLRequest, GSSENCRequest
		r.sendBytes(0, 0, 0, 8, 0x04, 0xd2, 0x16, code)
		var b [1]byte
		if _, err := io.ReadFull(r.conn, b[:]); err != nil || b[0] != 'N' {
			t.Fatalf("answer %q to an encryption request, error %v, want N", b, err)
		}
	}
	r.sendMessages(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion32, Parameters: startupParamsWith("_pq_.x", "1")})
	if got := r.readUntilReady(); got != "NegotiateProtocolVersion AuthenticationOk BackendKeyData Ready:I" {
		t.Errorf("got %q", got)
	}
}

// Guards against a caller that sends part of a startup packet and keeps its
// connection open.
func TestStartupTimeout(t *testing.T) {
	f := newFixture(t, func(s *settings.Settings) { s.Callers.StartupTimeout = catalog.Duration(10 * time.Millisecond) })
	r := f.dialRaw()
	r.sendBytes(0, 0, 0, 20, 0)
	if got := r.readUntilReady(); got != "FATAL:08P01:GB1001 closed" {
		t.Errorf("got %q", got)
	}
}

// Guards against running an incomplete message, and against a caller that stays
// registered after it disconnected within a message.
func TestIncompleteMessage(t *testing.T) {
	f := newFixture(t, nil)
	for _, part := range [][]byte{{'Q'}, {'Q', 0, 0}, append([]byte{'Q', 0, 0, 0, 90}, "insert into huts values (1)"...)} {
		r := f.dialRaw()
		r.sendStartup(startupParams())
		r.readUntilReady()
		r.sendBytes(part...)
		_ = r.conn.Close()
	}
	f.eventually("all callers to be unregistered", func() bool { return f.server.Callers() == 0 })
	if got := f.cluster.takeCalls(); len(got) != 0 {
		t.Errorf("calls %v, want none", got)
	}
}

// Guards against accepting more callers than the connection limit.
func TestMaxConnections(t *testing.T) {
	f := newFixture(t, func(s *settings.Settings) { s.Callers.MaxConnections = 1 })
	f.connect("")
	r := f.dialRaw()
	r.sendStartup(startupParams())
	if got := r.readUntilReady(); got != "FATAL:53300:GB3004 closed" || f.server.Callers() != 1 {
		t.Errorf("got %q with %d callers", got, f.server.Callers())
	}
}

// Guards against answers out of order and against sessions that do not work after an
// error: an error must refuse the whole batch, and the next batch must run.
func TestBatches(t *testing.T) {
	f := newFixture(t, func(s *settings.Settings) { s.Callers.MaxMessage = 200 })
	r := f.dialRaw()
	r.sendStartup(startupParams())
	r.readUntilReady()
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
		r.sendMessages(tc.send...)
		if got := r.readUntilReady(); got != tc.want {
			t.Fatalf("%s: got %q, want %q", tc.name, got, tc.want)
		}
	}
	f.cluster.update(func() {
		f.cluster.intercept = func(_ string, req *wire.ExecuteRequest) (*wire.ExecuteResponse, error) {
			return refusal(req, result.Errorf(result.Overloaded, "full")), nil
		}
	})
	r.sendMessages(parse("", "select 1"), &pgproto3.Flush{}, bind(""), execute, sync)
	if got := r.readUntilReady(); got != "ERROR:53300:GB3001 Ready:I" {
		t.Errorf("error from a pool before a flush: got %q", got)
	}
	r.sendBytes('Q', 0, 0, 0, 3)
	if got := r.readUntilReady(); got != "FATAL:08P01:GB1009 closed" {
		t.Errorf("message with an invalid length: got %q", got)
	}
}
