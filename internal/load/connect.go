package load

import (
	"context"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5"
)

const connectTimeout = 5 * time.Second

// dial opens one connection. Callers connect as different users, because the
// proxy divides capacity fairly between users.
func dial(ctx context.Context, address, user, service, class, protocol string) (*pgx.Conn, error) {
	cfg, err := pgx.ParseConfig(fmt.Sprintf("postgres://%s/%s?sslmode=disable", address, service))
	if err != nil {
		return nil, fmt.Errorf("parse address %q: %w", address, err)
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

// execute runs one statement and reads its whole answer. It uses Query for
// writes too, because Exec without arguments uses the simple protocol.
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
	_ = conn.Close(ctx) // the connection is not used again
}
