package entry

import (
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"

	"geraniumbeam/internal/backend"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/wire"
)

// fakeCluster is one group of databases behind fake pools. A SELECT returns one row
// with the database's name and position; any other statement advances the primary's
// position.
type fakeCluster struct {
	mu                sync.Mutex
	term              uint64
	primary           string
	offsets           map[string]uint64
	unreachable       map[string]bool // addresses that refuse connections
	sequences         map[string]uint64
	transactionCount  int
	calls             []*wire.ExecuteRequest
	addresses         []string
	bulkCalls         map[string]int // calls through BulkPool, by class
	urgentCalls       map[string]int // calls through Pool, by class
	endedTransactions []string
	keepAlives        map[string]int
	cancelledRequests chan string
	load              *wire.Load
	discardCalls      bool // calls are not recorded
	// intercept, if set, may replace the answer to a call. If it returns nil and
	// nil, the call is run.
	intercept func(address string, req *wire.ExecuteRequest) (*wire.ExecuteResponse, error)
	// interceptContext, if set, handles each call instead and returns its error.
	interceptContext func(ctx context.Context, req *wire.ExecuteRequest) error
}

func newFakeCluster() *fakeCluster {
	return &fakeCluster{
		term: 1, primary: "db-a", offsets: map[string]uint64{"db-a": 1, "db-b": 1, "db-c": 1},
		unreachable: map[string]bool{}, sequences: map[string]uint64{}, keepAlives: map[string]int{},
		bulkCalls: map[string]int{}, urgentCalls: map[string]int{}, cancelledRequests: make(chan string, 10),
	}
}

func (f *fakeCluster) Pool(address string) wire.Pool { return &fakePool{f, address, false} }

func (f *fakeCluster) BulkPool(address string) wire.Pool { return &fakePool{f, address, true} }

func (f *fakeCluster) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// replicate sets all databases to the primary's position.
func (f *fakeCluster) replicate() {
	f.update(func() {
		for d := range f.offsets {
			f.offsets[d] = f.offsets[f.primary]
		}
	})
}

// takeCalls returns the calls since it was last called, each as "address database".
func (f *fakeCluster) takeCalls() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for i, c := range f.calls {
		out = append(out, f.addresses[i]+" "+c.GetDatabase())
	}
	f.calls, f.addresses = nil, nil
	return out
}

type fakePool struct {
	f       *fakeCluster
	address string
	bulk    bool
}

func dialError(address string) error {
	return fmt.Errorf("call: %w", &net.OpError{Op: "dial", Net: "tcp", Err: fmt.Errorf("connection refused by %s", address)})
}

func (p *fakePool) Execute(ctx context.Context, req *wire.ExecuteRequest) (*wire.ExecuteResponse, error) {
	f := p.f
	f.mu.Lock()
	intercept, interceptContext := f.intercept, f.interceptContext
	if !f.discardCalls {
		f.calls, f.addresses = append(f.calls, req), append(f.addresses, p.address)
	}
	counts := f.urgentCalls
	if p.bulk {
		counts = f.bulkCalls
	}
	counts[req.GetClass()]++
	isDown := f.unreachable[p.address]
	f.mu.Unlock()
	if isDown {
		return nil, dialError(p.address)
	}
	if interceptContext != nil {
		return nil, interceptContext(ctx, req)
	}
	if intercept != nil {
		if resp, err := intercept(p.address, req); resp != nil || err != nil {
			return resp, err
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.execute(req), nil
}

func (f *fakeCluster) execute(req *wire.ExecuteRequest) *wire.ExecuteResponse {
	db := req.GetDatabase()
	at := backend.Position{Term: f.term, Offset: f.offsets[db]}
	resp := &wire.ExecuteResponse{
		RequestId: req.GetRequestId(), TransactionId: req.GetTransactionId(), Sequence: req.GetSequence(), Load: f.load,
	}
	switch {
	case req.GetWantPrimary() && db != f.primary:
		resp.Failure = wire.NewFailure(result.Errorf(result.NotPrimary, "%s is not the primary", db))
		return resp
	case at.Compare(wire.PositionOf(req.GetFloor())) < 0:
		resp.Failure = wire.NewFailure(result.Errorf(result.BehindFloor, "%s is behind the floor", db))
		return resp
	}
	status := byte('I')
	if id := req.GetTransactionId(); id != "" {
		if req.GetSequence() != f.sequences[id]+1 {
			resp.Failure = wire.NewFailure(result.Errorf(result.UnknownTransaction, "sequence %d", req.GetSequence()))
			return resp
		}
		f.sequences[id]++
		status = 'T'
	}
	run := &fakeExecution{db: db, status: status, offset: f.offsets[db], replica: db != f.primary}
	run.batch(req.GetBatch(), req.GetInjectedParses())
	resp.Wrote = run.offset > f.offsets[db]
	f.offsets[db] = run.offset
	if run.status != 'I' && req.GetTransactionId() == "" {
		f.transactionCount++
		resp.TransactionId = fmt.Sprintf("tx-%d", f.transactionCount)
		f.sequences[resp.TransactionId] = req.GetSequence()
	}
	resp.TransactionStatus = uint32(run.status)
	resp.Position = &wire.LogPosition{Term: f.term, Offset: run.offset}
	resp.Answer = appendReady(run.out, run.status)
	return resp
}

// fakeExecution runs the messages of one batch on one database.
type fakeExecution struct {
	db      string
	status  byte
	offset  uint64
	replica bool
	sql     string // unnamed statement
	out     []byte
}

func (r *fakeExecution) batch(messages []byte, injected []uint32) {
	parses := uint32(0)
	for len(messages) >= 5 {
		n := int(binary.BigEndian.Uint32(messages[1:5])) + 1
		body := messages[5:n]
		switch messages[0] {
		case 'Q':
			r.run(strings.TrimRight(string(body), "\x00"), true)
		case 'P':
			var m pgproto3.Parse
			_ = m.Decode(body)
			r.sql = m.Query
			if !slices.Contains(injected, parses) {
				r.out = encode(r.out, &pgproto3.ParseComplete{})
			}
			parses++
		case 'B':
			r.out = encode(r.out, &pgproto3.BindComplete{})
		case 'D':
			if body[0] == 'S' {
				oids := slices.Repeat([]uint32{textOID}, strings.Count(r.sql, "$"))
				r.out = encode(r.out, &pgproto3.ParameterDescription{ParameterOIDs: oids})
			}
			r.describe(r.sql)
		case 'E':
			r.run(r.sql, false)
		case 'C':
			r.out = encode(r.out, &pgproto3.CloseComplete{})
		}
		messages = messages[n:]
	}
}

func keyword(sql string) string {
	if i := strings.LastIndex(sql, "*/"); i >= 0 {
		sql = sql[i+2:]
	}
	word, _, _ := strings.Cut(strings.ToLower(strings.TrimSpace(sql)), " ")
	return strings.TrimRight(word, ";")
}

func (r *fakeExecution) describe(sql string) {
	if keyword(sql) != "select" {
		r.out = encode(r.out, &pgproto3.NoData{})
		return
	}
	r.rowDescription()
}

func (r *fakeExecution) rowDescription() {
	r.out = encode(r.out, &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{
		{Name: []byte("seen"), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1},
	}})
}

func (r *fakeExecution) run(sql string, describe bool) {
	tag := strings.ToUpper(keyword(sql))
	switch tag {
	case "SELECT":
		if describe {
			r.rowDescription()
		}
		value := fmt.Sprintf("%s@%d", r.db, r.offset)
		r.out = encode(r.out, &pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
		tag = "SELECT 1"
	case "BEGIN":
		r.status = 'T'
	case "COMMIT":
		r.offset++
		r.status = 'I'
	case "ROLLBACK":
		r.status = 'I'
	default:
		if r.replica {
			r.out = encode(r.out, &pgproto3.ErrorResponse{Severity: "ERROR", Code: sqlStateReadOnly, Message: "read-only"})
			return
		}
		if r.status == 'I' {
			r.offset++
		}
		tag = "INSERT 0 1"
	}
	r.out = encode(r.out, &pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

func (p *fakePool) EndTransaction(_ context.Context, r *wire.EndTransactionRequest) (*wire.EndTransactionResponse, error) {
	p.f.update(func() { p.f.endedTransactions = append(p.f.endedTransactions, r.GetTransactionId()) })
	return &wire.EndTransactionResponse{}, nil
}

func (p *fakePool) KeepAlive(_ context.Context, r *wire.KeepAliveRequest) (*wire.KeepAliveResponse, error) {
	p.f.update(func() {
		for _, id := range r.GetTransactionIds() {
			p.f.keepAlives[id]++
		}
	})
	return &wire.KeepAliveResponse{}, nil
}

func (p *fakePool) GroupStatus(context.Context, *wire.GroupStatusRequest) (*wire.GroupStatusResponse, error) {
	p.f.mu.Lock()
	defer p.f.mu.Unlock()
	if p.f.unreachable[p.address] || p.f.primary == "" {
		return nil, dialError(p.address)
	}
	return &wire.GroupStatusResponse{Databases: []*wire.DatabaseStatus{{
		Database: p.f.primary, Term: p.f.term, Role: wire.Role_ROLE_PRIMARY, Reachable: true,
	}}}, nil
}

func (p *fakePool) Cancel(_ context.Context, r *wire.CancelRequest) (*wire.CancelResponse, error) {
	p.f.cancelledRequests <- r.GetRequestId()
	return &wire.CancelResponse{}, nil
}

func (p *fakePool) Confirm(context.Context, *wire.ConfirmRequest) (*wire.ConfirmResponse, error) {
	return &wire.ConfirmResponse{}, nil
}

func (p *fakePool) Vote(context.Context, *wire.VoteRequest) (*wire.VoteResponse, error) {
	return &wire.VoteResponse{}, nil
}
