package entry

import (
	"context"
	"testing"

	"github.com/jackc/pgx/v5"
)

// Guards against statements that would leave state on a shared backend connection,
// and against refusing the settings that drivers send at connect.
func TestSessionStatements(t *testing.T) {
	f := newFixture(t, nil)
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
		f.wantSQLState(conn, sql, "0A000")
	}
	if len(f.cluster.takeCalls()) != 0 {
		t.Error("a session statement was sent to a pool")
	}
	f.wantSQLState(conn, "deallocate nope", "26000")
	f.wantSQLState(conn, "set geraniumbeam.nope = 1", "22023")
	pg := f.wantSQLState(conn, "/* geraniumbeam class=nope */ select 1", "22023")
	if pg.Message != `GB1003 class "nope" does not exist in service "huts": known classes are browse, default, quick` {
		t.Errorf("message %q", pg.Message)
	}
	f.exec(conn, "set geraniumbeam.class = browse")
	if got := f.queryValue(conn, "show geraniumbeam.class"); got != "browse" {
		t.Errorf("class %q", got)
	}
}

// Guards against committing the statements before an error in a transaction that
// the server itself refused.
func TestErrorEndsTransaction(t *testing.T) {
	f := newFixture(t, nil)
	conn := f.connect("")
	for _, end := range []string{"commit", "rollback"} {
		f.exec(conn, "begin")
		f.exec(conn, "insert into huts values (1)")
		f.wantSQLState(conn, "listen a", "0A000")
		f.wantSQLState(conn, "insert into huts values (2)", "40000")
		if s := conn.PgConn().TxStatus(); s != 'E' {
			t.Errorf("transaction status %c, want E", s)
		}
		tag, err := conn.Exec(context.Background(), end, pgx.QueryExecModeExec)
		if err != nil || tag.String() != "ROLLBACK" || conn.PgConn().TxStatus() != 'I' {
			t.Errorf("%s: %s %v", end, tag, err)
		}
	}
	if f.cluster.offsets["db-a"] != 1 {
		t.Error("a failed transaction was committed")
	}
}
