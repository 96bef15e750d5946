package database

import (
	"net"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/rs/zerolog"
)

// BenchmarkStatements measures statements on one connection, with and without
// prepared statements.
func BenchmarkStatements(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := New(Config{Name: "a", Primary: "a", Log: zerolog.Nop(), ConnectionLimit: 100})
	go func() { _ = s.Serve(l) }()
	defer s.Close()
	c, err := pgx.Connect(b.Context(), "postgres://test@"+l.Addr().String()+"/test")
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close(b.Context())
	if _, err := c.Exec(b.Context(), `CREATE TABLE hut (id bigserial PRIMARY KEY, name text)`); err != nil {
		b.Fatal(err)
	}
	b.Run("insert", func(b *testing.B) {
		for b.Loop() {
			if _, err := c.Exec(b.Context(), `INSERT INTO hut (name) VALUES ($1)`, "x"); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("select", func(b *testing.B) {
		for b.Loop() {
			var n string
			if err := c.QueryRow(b.Context(), `SELECT name FROM hut WHERE id = $1`, 1).Scan(&n); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("select unprepared", func(b *testing.B) {
		for b.Loop() {
			var n string
			if err := c.QueryRow(b.Context(), `SELECT name FROM hut WHERE id = $1`, pgx.QueryExecModeExec, 1).Scan(&n); err != nil {
				b.Fatal(err)
			}
		}
	})
}
