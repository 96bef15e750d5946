package pool

import (
	"context"
	"testing"

	"github.com/jackc/pgx/v5/pgconn"

	"geraniumbeam/internal/backend"
	"geraniumbeam/internal/wire"
)

// BenchmarkExecute measures statements on the stand-in database through the pool,
// without network hops between instances. The difference from direct is the cost
// of the pool.
func BenchmarkExecute(b *testing.B) {
	cl := newStandInCluster(b, clusterOptions{})
	cl.run("INSERT INTO huts VALUES (1, 'x')", nil)
	const read = "SELECT holder FROM huts WHERE id = 1"
	b.Run("direct", func(b *testing.B) {
		c, err := pgconn.Connect(context.Background(), "postgres://proxy@"+cl.addresses["a"]+"/g?sslmode=disable")
		if err != nil {
			b.Fatal(err)
		}
		defer func() { _ = c.Close(context.Background()) }()
		for b.Loop() {
			if _, err := c.Exec(context.Background(), read).ReadAll(); err != nil {
				b.Fatal(err)
			}
		}
	})
	for name, f := range map[string]func(*wire.ExecuteRequest){
		"primary":  func(*wire.ExecuteRequest) {},
		"verified": func(r *wire.ExecuteRequest) { r.Verify = true },
		"replica": func(r *wire.ExecuteRequest) {
			r.Database, r.WantPrimary, r.Bound = "b", false, wire.ReadBound_READ_BOUND_FLOOR
			r.Floor = wire.NewPosition(backend.Position{Term: 3})
		},
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if resp := cl.run(read, f); resp.GetFailure() != nil {
					b.Fatal(resp.GetFailure())
				}
			}
		})
	}
	b.Run("write", func(b *testing.B) {
		for b.Loop() {
			if resp := cl.run("UPDATE huts SET holder = 'y' WHERE id = 1", nil); resp.GetFailure() != nil {
				b.Fatal(resp.GetFailure())
			}
		}
	})
	b.Run("write with key", func(b *testing.B) {
		for b.Loop() {
			if resp := cl.run("UPDATE huts SET holder = 'y' WHERE id = 1", func(r *wire.ExecuteRequest) { r.RequestKey = r.GetRequestId() }); resp.GetFailure() != nil {
				b.Fatal(resp.GetFailure())
			}
		}
	})
}

// BenchmarkPoolOnly measures the time and allocations of the pool alone. The
// database is a fake that answers at once.
func BenchmarkPoolOnly(b *testing.B) {
	cl := newCluster(b, clusterOptions{})
	r := cl.request("read", nil)
	b.ReportAllocs()
	for b.Loop() {
		if resp, _ := cl.p.Execute(context.Background(), r); resp.GetFailure() != nil {
			b.Fatal(resp.GetFailure())
		}
		cl.a.mu.Lock()
		cl.a.executed = cl.a.executed[:0]
		cl.a.mu.Unlock()
	}
}
