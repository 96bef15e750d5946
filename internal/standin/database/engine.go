package database

import (
	"encoding/binary"
	"errors"
	"fmt"
	"runtime"
	"strings"
	"time"

	"modernc.org/libc"
	sqlite3 "modernc.org/sqlite/lib"
)

// maxCachedStatements is the number of prepared statements that an engine caches.
const maxCachedStatements = 256

const (
	outParamCount = 2
	pointerSize   = 8 // bytes, on the supported 64-bit platforms
)

// engine is one SQLite database in memory with one connection. It is not safe
// for concurrent use, except for interrupt.
type engine struct {
	tls        *libc.TLS
	db         uintptr
	outParams  uintptr // C memory for output parameters of library calls
	statements map[string]*statement
	now        time.Time // result of now() in SQL
	seed       uint64    // state of random() in SQL
	functions  []any     // keeps registered functions from being garbage collected
}

type statement struct {
	handle   uintptr
	params   int
	columns  []column
	readOnly bool
}

// column is a result column as described by SQLite.
type column struct {
	name     string
	declared string // declared type; empty for expressions
}

// rowSet is the complete result of a statement. Values are nil, int64, float64,
// string or []byte.
type rowSet struct {
	columns []column
	rows    [][]any
	changed int64 // inserted, updated or deleted rows
}

func newEngine() (*engine, error) {
	e := &engine{tls: libc.NewTLS(), statements: make(map[string]*statement), now: time.Now()}
	e.outParams = libc.Xmalloc(e.tls, outParamCount*pointerSize)
	if e.outParams == 0 {
		return nil, errors.New("allocate output parameters: out of memory")
	}
	name, err := libc.CString(":memory:")
	if err != nil {
		return nil, fmt.Errorf("allocate database name: %w", err)
	}
	defer libc.Xfree(e.tls, name)
	flags := int32(sqlite3.SQLITE_OPEN_READWRITE | sqlite3.SQLITE_OPEN_CREATE | sqlite3.SQLITE_OPEN_MEMORY | sqlite3.SQLITE_OPEN_FULLMUTEX)
	if rc := sqlite3.Xsqlite3_open_v2(e.tls, name, e.outParamAddress(0), flags, 0); rc != sqlite3.SQLITE_OK {
		return nil, fmt.Errorf("open in-memory database: SQLite result code %d", rc)
	}
	e.db = e.outParam(0)
	if err := e.registerFunctions(); err != nil {
		e.close()
		return nil, err
	}
	return e, nil
}

func (e *engine) outParamAddress(i int) uintptr { return e.outParams + uintptr(i*pointerSize) }

// outParam returns the value that the last call stored at outParamAddress(i).
func (e *engine) outParam(i int) uintptr {
	return uintptr(binary.NativeEndian.Uint64(libc.GoBytes(e.outParamAddress(i), pointerSize)))
}

func (e *engine) close() {
	e.dropStatements()
	sqlite3.Xsqlite3_close_v2(e.tls, e.db)
	libc.Xfree(e.tls, e.outParams)
	e.tls.Close()
	runtime.KeepAlive(e.functions)
}

func (e *engine) dropStatements() {
	for _, s := range e.statements {
		sqlite3.Xsqlite3_finalize(e.tls, s.handle)
	}
	clear(e.statements)
}

// prepare compiles one statement or returns it from the cache.
func (e *engine) prepare(sql string) (*statement, error) {
	if s, ok := e.statements[sql]; ok {
		return s, nil
	}
	if len(e.statements) >= maxCachedStatements {
		e.dropStatements()
	}
	text, err := libc.CString(sql)
	if err != nil {
		return nil, fmt.Errorf("allocate statement of %d bytes: %w", len(sql), err)
	}
	defer libc.Xfree(e.tls, text)
	if rc := sqlite3.Xsqlite3_prepare_v2(e.tls, e.db, text, int32(len(sql)+1), e.outParamAddress(0), e.outParamAddress(1)); rc != sqlite3.SQLITE_OK {
		return nil, e.lastError()
	}
	s := &statement{handle: e.outParam(0)}
	if s.handle == 0 {
		return s, nil
	}
	s.params = int(sqlite3.Xsqlite3_bind_parameter_count(e.tls, s.handle))
	s.readOnly = sqlite3.Xsqlite3_stmt_readonly(e.tls, s.handle) != 0
	s.columns = e.columns(s.handle)
	e.statements[sql] = s
	return s, nil
}

func (e *engine) columns(handle uintptr) []column {
	n := sqlite3.Xsqlite3_column_count(e.tls, handle)
	cols := make([]column, n)
	for i := range n {
		cols[i] = column{
			name:     libc.GoString(sqlite3.Xsqlite3_column_name(e.tls, handle, i)),
			declared: libc.GoString(sqlite3.Xsqlite3_column_decltype(e.tls, handle, i)),
		}
	}
	return cols
}

// run executes one statement and returns its result.
func (e *engine) run(sql string, args []any) (*rowSet, error) {
	s, err := e.prepare(sql)
	if err != nil {
		return nil, err
	}
	if s.handle == 0 {
		return &rowSet{}, nil
	}
	defer func() {
		sqlite3.Xsqlite3_reset(e.tls, s.handle)
		sqlite3.Xsqlite3_clear_bindings(e.tls, s.handle)
		if changesSchema(sql) {
			e.dropStatements()
		}
	}()
	free, err := e.bind(s, args)
	defer free()
	if err != nil {
		return nil, err
	}
	return e.collect(s)
}

func (e *engine) collect(s *statement) (*rowSet, error) {
	rs := &rowSet{columns: s.columns}
	for {
		switch rc := sqlite3.Xsqlite3_step(e.tls, s.handle); rc {
		case sqlite3.SQLITE_ROW:
			rs.rows = append(rs.rows, e.row(s))
		case sqlite3.SQLITE_DONE:
			if !s.readOnly {
				rs.changed = sqlite3.Xsqlite3_changes64(e.tls, e.db)
			}
			return rs, nil
		default:
			return nil, e.lastError()
		}
	}
}

func (e *engine) row(s *statement) []any {
	row := make([]any, len(s.columns))
	for i := range row {
		c := int32(i)
		switch sqlite3.Xsqlite3_column_type(e.tls, s.handle, c) {
		case sqlite3.SQLITE_INTEGER:
			row[i] = sqlite3.Xsqlite3_column_int64(e.tls, s.handle, c)
		case sqlite3.SQLITE_FLOAT:
			row[i] = sqlite3.Xsqlite3_column_double(e.tls, s.handle, c)
		case sqlite3.SQLITE_TEXT:
			p := sqlite3.Xsqlite3_column_text(e.tls, s.handle, c)
			row[i] = string(libc.GoBytes(p, int(sqlite3.Xsqlite3_column_bytes(e.tls, s.handle, c))))
		case sqlite3.SQLITE_BLOB:
			p := sqlite3.Xsqlite3_column_blob(e.tls, s.handle, c)
			n := int(sqlite3.Xsqlite3_column_bytes(e.tls, s.handle, c))
			row[i] = append([]byte{}, libc.GoBytes(p, n)...)
		}
	}
	return row
}

// bind sets the parameters. The caller must call free after the last step.
func (e *engine) bind(s *statement, args []any) (free func(), err error) {
	var allocated []uintptr
	free = func() {
		for _, p := range allocated {
			libc.Xfree(e.tls, p)
		}
	}
	if len(args) < s.params {
		return free, fmt.Errorf("bind parameters: statement has %d, got %d", s.params, len(args))
	}
	for i := range s.params {
		n, rc := int32(i+1), int32(0)
		switch v := args[i].(type) {
		case nil, nullValue:
			rc = sqlite3.Xsqlite3_bind_null(e.tls, s.handle, n)
		case int64:
			rc = sqlite3.Xsqlite3_bind_int64(e.tls, s.handle, n, v)
		case float64:
			rc = sqlite3.Xsqlite3_bind_double(e.tls, s.handle, n, v)
		case string, []byte:
			text, isText := v.(string)
			if !isText {
				text = string(v.([]byte))
			}
			p, err := libc.CString(text)
			if err != nil {
				return free, fmt.Errorf("allocate parameter %d of %d bytes: %w", n, len(text), err)
			}
			allocated = append(allocated, p)
			if isText {
				rc = sqlite3.Xsqlite3_bind_text(e.tls, s.handle, n, p, int32(len(text)), 0)
			} else {
				rc = sqlite3.Xsqlite3_bind_blob(e.tls, s.handle, n, p, int32(len(text)), 0)
			}
		default:
			return free, fmt.Errorf("bind parameter %d: unsupported type %T", n, v)
		}
		if rc != sqlite3.SQLITE_OK {
			return free, e.lastError()
		}
	}
	return free, nil
}

// inTransaction reports whether a transaction is open. SQLite rolls it back by
// itself after some errors.
func (e *engine) inTransaction() bool {
	return sqlite3.Xsqlite3_get_autocommit(e.tls, e.db) == 0
}

// interrupt aborts the running statement. It may be called from any goroutine.
func (e *engine) interrupt() {
	tls := libc.NewTLS()
	defer tls.Close()
	sqlite3.Xsqlite3_interrupt(tls, e.db)
}

// copyFrom replaces the content with that of src.
func (e *engine) copyFrom(src *engine) error {
	data, size, err := src.serialize()
	if err != nil {
		return err
	}
	return e.deserialize(data, size)
}

// deserialize replaces the content with data, which must be allocated by SQLite
// and is freed by it.
func (e *engine) deserialize(data uintptr, size int64) error {
	e.dropStatements()
	main, err := libc.CString("main")
	if err != nil {
		return fmt.Errorf("allocate schema name: %w", err)
	}
	defer libc.Xfree(e.tls, main)
	flags := uint32(sqlite3.SQLITE_DESERIALIZE_FREEONCLOSE | sqlite3.SQLITE_DESERIALIZE_RESIZEABLE)
	if rc := sqlite3.Xsqlite3_deserialize(e.tls, e.db, main, data, size, size, flags); rc != sqlite3.SQLITE_OK {
		return e.lastError()
	}
	return nil
}

// serialize returns a copy of the content, allocated by SQLite.
func (e *engine) serialize() (data uintptr, size int64, err error) {
	main, err := libc.CString("main")
	if err != nil {
		return 0, 0, fmt.Errorf("allocate schema name: %w", err)
	}
	defer libc.Xfree(e.tls, main)
	data = sqlite3.Xsqlite3_serialize(e.tls, e.db, main, e.outParamAddress(0), 0)
	if data == 0 {
		return 0, 0, fmt.Errorf("serialize database: out of memory")
	}
	return data, int64(e.outParam(0)), nil
}

func (e *engine) lastError() error {
	return &engineError{
		code:    int(sqlite3.Xsqlite3_extended_errcode(e.tls, e.db)),
		message: libc.GoString(sqlite3.Xsqlite3_errmsg(e.tls, e.db)),
	}
}

// changesSchema reports whether sql may invalidate prepared statements.
func changesSchema(sql string) bool {
	word, _, _ := strings.Cut(strings.TrimSpace(sql), " ")
	switch strings.ToUpper(word) {
	case "CREATE", "ALTER", "DROP", "ROLLBACK":
		return true
	}
	return false
}
