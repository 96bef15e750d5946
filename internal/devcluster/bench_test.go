package devcluster

import (
	"context"
	"fmt"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/rs/zerolog"
)

func startBenchCluster(b *testing.B) *Cluster {
	b.Helper()
	c, err := Start(Config{ListenCallers: "127.0.0.1:0", Log: zerolog.Nop()})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		if err := c.Stop(); err != nil {
			b.Error(err)
		}
	})
	if err := c.WaitReady(context.Background()); err != nil {
		b.Fatal(err)
	}
	return c
}

func benchStatement(b *testing.B, url, sql string) {
	b.Helper()
	ctx := context.Background()
	conn, err := pgx.Connect(ctx, url)
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close(ctx)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := conn.Exec(ctx, sql); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkStatement compares statements of one caller that go directly to the
// primary with those that go through each instance, all in one process. One of
// the instances is the active owner of the primary.
func BenchmarkStatement(b *testing.B) {
	c := startBenchCluster(b)
	const (
		read  = "SELECT body FROM greetings WHERE id = 'first'"
		write = "UPDATE greetings SET body = 'hello' WHERE id = 'first'"
	)
	b.Run("direct-read", func(b *testing.B) { benchStatement(b, c.DatabaseURL(0), read) })
	b.Run("proxy-read", func(b *testing.B) { benchStatement(b, c.URL(), read) })
	for i, address := range c.callerAddresses {
		b.Run(fmt.Sprintf("instance-%d-read", i+1), func(b *testing.B) { benchStatement(b, callerURL(address), read) })
	}
	b.Run("direct-write", func(b *testing.B) { benchStatement(b, c.DatabaseURL(0), write) })
	b.Run("proxy-write", func(b *testing.B) { benchStatement(b, c.URL(), write) })
}
