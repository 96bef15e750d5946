package load

import (
	"context"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5"
)

const connectTimeout = 5 * time.Second

// dial opens one connection. The application's user is the fairness key of
// the proxy, so each caller has its own.
func dial(ctx context.Context, address, user, service, class, protocol string) (*pgx.Conn, error) {
	cfg, err := pgx.ParseConfig(fmt.Sprintf("postgres://%s/%s?sslmode=disable", address, service))
	if err != nil {
		return nil, fmt.Errorf("address %q: %w", address, err)
	}
	cfg.User = user
	cfg.ConnectTimeout = connectTimeout
	if class != "" {
		cfg.RuntimeParams["geraniumbeam.class"] = class
	}
	cfg.DefaultQueryExecMode = pgx.QueryExecModeSimpleProtocol
	if protocol == protocolExtended {
		cfg.DefaultQueryExecMode = pgx.QueryExecModeExec
	}
	conn, err := pgx.ConnectConfig(ctx, cfg)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	return conn, nil
}

const protocolExtended = "extended"

// execute runs one statement and reads its whole answer. Query is used for
// writes too, because Exec falls back to the simple protocol.
func execute(ctx context.Context, conn *pgx.Conn, sql string) error {
	rows, err := conn.Query(ctx, sql)
	if err != nil {
		return err
	}
	rows.Close()
	return rows.Err()
}

func closeConn(conn *pgx.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = conn.Close(ctx) // nothing depends on a clean end
}
