package backend

import (
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

func statusRow(t testing.TB, columns ...string) []byte {
	t.Helper()
	row := &pgproto3.DataRow{}
	for _, c := range columns {
		if c == "null" {
			row.Values = append(row.Values, nil)
			continue
		}
		row.Values = append(row.Values, []byte(c))
	}
	b, err := row.Encode(nil)
	if err != nil {
		t.Fatal(err)
	}
	return b[headerSize:]
}

// Guards against a status that is parsed from an invalid row, and against failing on
// the age of a database that never had a primary.
func TestParseStatus(t *testing.T) {
	want := Status{
		Term: 7, Role: RoleReplica, Last: Position{Term: 6, Offset: 42}, PrimaryAge: 15 * time.Millisecond, Leaving: true,
	}
	body := statusRow(t, "7", "replica", "6", "42", "15", "t")
	if got, err := parseStatus(body); err != nil || got != want {
		t.Errorf("status %+v, error %v, want %+v", got, err, want)
	}
	for n := range body {
		if got, err := parseStatus(body[:n]); err == nil {
			t.Errorf("a row truncated to %d of %d bytes was parsed as %+v", n, len(body), got)
		}
	}
	if _, err := parseStatus(append(body, 0)); err == nil {
		t.Error("a row with a trailing byte was accepted")
	}
	for _, age := range []string{"null", "-1"} {
		if got, err := parseStatus(statusRow(t, "7", "fenced", "6", "42", age, "f")); err != nil || got.PrimaryAge != 0 || got.Leaving {
			t.Errorf("age %s: status %+v, error %v", age, got, err)
		}
	}
	for _, columns := range [][]string{
		{"7", "leader", "6", "42", "15", "t"},
		{"7", "replica", "-6", "42", "15", "t"},
		{"7", "replica", "6", "null", "15", "t"},
		{"7", "replica", "6", "42", "", "t"},
		{"7", "replica", "6", "42", "15"},
		{"7", "replica", "6", "42", "15", "t", "1"},
	} {
		if got, err := parseStatus(statusRow(t, columns...)); err == nil {
			t.Errorf("invalid row %q was parsed as %+v", columns, got)
		}
	}
}

// BenchmarkParseStatus measures parsing one status row; each work batch reads two.
func BenchmarkParseStatus(b *testing.B) {
	body := statusRow(b, "7", "replica", "6", "42", "15", "f")
	b.ReportAllocs()
	for b.Loop() {
		if _, err := parseStatus(body); err != nil {
			b.Fatal(err)
		}
	}
}
