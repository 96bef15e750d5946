package entry

import (
	"context"
	"testing"

	"github.com/jackc/pgx/v5"
)

// Guards against statements that would leave state on a shared connection, and
// against refusing the settings that drivers send at connect.
func TestStatementsOfTheSession(t *testing.T) {
	f := start(t, nil)
	conn := f.connect("&application_name=app")
	for _, sql := range []string{
		"set client_encoding to 'UTF8'", "SET DateStyle = ISO, MDY", "set extra_float_digits = 3", "set names 'utf8'",
		"set time zone 'UTC'", "set session timezone = 'utc'", "set application_name = 'other'", "deallocate all", "discard all",
		"set geraniumbeam.class = quick", "reset geraniumbeam.class", "reset all", "set geraniumbeam.class to default",
	} {
		f.exec(conn, sql)
	}
	if got := conn.PgConn().ParameterStatus("application_name"); got != "other" {
		t.Errorf("application_name %q", got)
	}
	for _, sql := range []string{
		"copy huts from stdin", "listen a", "notify a", "unlisten a", "set search_path = x", "set client_encoding = latin1",
		"set time zone 'Asia/Taipei'", "select 1; set geraniumbeam.class = 'quick'", "select 1; listen a", "reset search_path",
		"set geraniumbeam.class", "create temp table x (id int)", "prepare p as select 1",
	} {
		f.wantState(conn, sql, "0A000")
	}
	if len(f.cluster.seen()) != 0 {
		t.Error("a statement of the session reached a pool")
	}
	f.wantState(conn, "deallocate nope", "26000")
	f.wantState(conn, "set geraniumbeam.nope = 1", "22023")
	pg := f.wantState(conn, "/* geraniumbeam class=nope */ select 1", "22023")
	if pg.Message != `GB1003 class "nope" does not exist in service "huts": known classes are browse, default, quick` {
		t.Errorf("message %q", pg.Message)
	}
	f.exec(conn, "set geraniumbeam.class = browse")
	if got := f.read(conn, "show geraniumbeam.class"); got != "browse" {
		t.Errorf("class %q", got)
	}
}

// Guards against an error inside a transaction after which the rest of it would
// be committed.
func TestErrorEndsTransaction(t *testing.T) {
	f := start(t, nil)
	conn := f.connect("")
	for _, end := range []string{"commit", "rollback"} {
		f.exec(conn, "begin")
		f.exec(conn, "insert into huts values (1)")
		f.wantState(conn, "listen a", "0A000")
		f.wantState(conn, "insert into huts values (2)", "40000")
		if s := conn.PgConn().TxStatus(); s != 'E' {
			t.Errorf("status %c", s)
		}
		tag, err := conn.Exec(context.Background(), end, pgx.QueryExecModeExec)
		if err != nil || tag.String() != "ROLLBACK" || conn.PgConn().TxStatus() != 'I' {
			t.Errorf("%s: %s %v", end, tag, err)
		}
	}
	if f.cluster.offsets["db-a"] != 1 {
		t.Error("a refused transaction was committed")
	}
}
