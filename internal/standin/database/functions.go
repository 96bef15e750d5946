package database

import (
	"fmt"
	"time"
	"unsafe"

	"modernc.org/libc"
	sqlite3 "modernc.org/sqlite/lib"
)

// timestampLayout is the format of stored timestamps. It sorts in order of time.
const timestampLayout = "2006-01-02 15:04:05.000000+00"

// scalarFunction is the signature of a SQL function in the C library, which is
// translated to Go.
type scalarFunction = func(tls *libc.TLS, ctx uintptr, argc int32, argv uintptr)

// registerFunctions adds now(), clock_timestamp() and random(). Their results
// follow from the time in the log entry, so that replicas compute the same.
func (e *engine) registerFunctions() error {
	now := func(tls *libc.TLS, ctx uintptr, _ int32, _ uintptr) {
		text := e.now.UTC().Format(timestampLayout)
		p, err := libc.CString(text)
		if err != nil {
			return
		}
		defer libc.Xfree(tls, p)
		sqlite3.Xsqlite3_result_text(tls, ctx, p, int32(len(text)), ^uintptr(0)) // SQLITE_TRANSIENT
	}
	random := func(tls *libc.TLS, ctx uintptr, _ int32, _ uintptr) {
		sqlite3.Xsqlite3_result_int64(tls, ctx, int64(e.nextRandom()))
	}
	for name, f := range map[string]scalarFunction{"now": now, "clock_timestamp": now, "random": random} {
		if err := e.registerFunction(name, 0, f); err != nil {
			return err
		}
	}
	// The session does the waiting; the SQL function returns NULL at once.
	return e.registerFunction("pg_sleep", 1, func(*libc.TLS, uintptr, int32, uintptr) {})
}

func (e *engine) registerFunction(name string, arguments int32, f scalarFunction) error {
	text, err := libc.CString(name)
	if err != nil {
		return fmt.Errorf("allocate name of function %s: %w", name, err)
	}
	defer libc.Xfree(e.tls, text)
	holder := &struct{ f scalarFunction }{f}
	e.functions = append(e.functions, holder)
	pointer := *(*uintptr)(unsafe.Pointer(holder)) // the library calls Go functions through this representation
	if rc := sqlite3.Xsqlite3_create_function_v2(e.tls, e.db, text, arguments, sqlite3.SQLITE_UTF8, 0, pointer, 0, 0, 0); rc != sqlite3.SQLITE_OK {
		return e.lastError()
	}
	return nil
}

// nextRandom returns the next value of a SplitMix64 generator.
func (e *engine) nextRandom() uint64 {
	e.seed += 0x9e3779b97f4a7c15
	z := e.seed
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// setNowAndSeed sets the results of now() and random() for the next statements.
func (e *engine) setNowAndSeed(now time.Time) {
	e.now = now
	e.seed = uint64(now.UnixNano())
}
