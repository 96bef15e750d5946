package integration

import (
	"context"
	"fmt"
	"testing"
	"time"

	"geraniumbeam/internal/settings"
)

// BenchmarkWrite measures the writes of one caller through the primary's data
// centre, with a one-way delay of 4 ms between data centres, with and without the
// confirmation by a second database.
func BenchmarkWrite(b *testing.B) {
	for _, v := range []struct {
		name   string
		unsafe settings.Unsafe
	}{{"Confirmed", settings.Unsafe{}}, {"NotConfirmed", settings.Unsafe{NoConfirmation: true}}} {
		b.Run(v.name, func(b *testing.B) {
			c := startCluster(b, options{delay: 4 * time.Millisecond, unsafe: v.unsafe})
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
			defer cancel()
			conn := c.connect(b, "gb-1", "geraniumbeam.partition="+c.partitionKey(b, failoverGroup))
			if _, err := conn.Exec(ctx, "CREATE TABLE written (id text PRIMARY KEY)"); err != nil {
				b.Fatal(err)
			}
			for i := 0; b.Loop(); i++ {
				if _, err := conn.Exec(ctx, "INSERT INTO written (id) VALUES ($1)", fmt.Sprint(i)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
