package load

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5"
)

const (
	setupUser       = "load-setup"
	setupAttempts   = 10
	setupRetryDelay = 500 * time.Millisecond
)

// runSetup creates the tables and rows of the scenario through the proxy. Each
// statement is retried up to setupAttempts times, which is safe because the
// statements are idempotent.
func runSetup(ctx context.Context, s *Scenario, addresses []string) error {
	if len(s.Setup.Statements) == 0 && s.Setup.Fill == "" {
		return nil
	}
	st := &setup{scenario: s, addresses: addresses}
	defer st.disconnect()
	for p := range max(1, s.Partitions) {
		for _, sql := range s.Setup.Statements {
			if err := st.runStatement(ctx, directive(s.Partitions, p, "")+sql); err != nil {
				return err
			}
		}
	}
	if s.Setup.Fill == "" {
		return nil
	}
	for row := range s.Rows {
		sql := expandPlaceholders(s.Setup.Fill, row, row, setupUser, "setup-"+strconv.Itoa(row))
		if err := st.runStatement(ctx, directive(s.Partitions, row, "")+sql); err != nil {
			return err
		}
	}
	return nil
}

// setup runs the set-up statements one after the other over one connection.
type setup struct {
	scenario    *Scenario
	addresses   []string
	conn        *pgx.Conn
	nextAddress int
}

func (s *setup) runStatement(ctx context.Context, sql string) error {
	var err error
	for range setupAttempts {
		if err = s.attempt(ctx, sql); err == nil {
			return nil
		}
		if result, _ := classifyError(err); result == failed {
			break
		}
		select {
		case <-ctx.Done():
			return errors.Join(err, ctx.Err())
		case <-time.After(setupRetryDelay):
		}
	}
	return fmt.Errorf("set-up statement %q: %w", sql, err)
}

func (s *setup) attempt(ctx context.Context, sql string) error {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	if s.conn == nil || s.conn.IsClosed() {
		address := s.addresses[s.nextAddress%len(s.addresses)]
		s.nextAddress++
		conn, err := dial(ctx, address, setupUser, s.scenario.Service, s.scenario.Setup.Class, s.scenario.Protocol)
		if err != nil {
			return err
		}
		s.conn = conn
	}
	return execute(ctx, s.conn, sql)
}

func (s *setup) disconnect() {
	if s.conn != nil {
		closeConn(s.conn)
	}
}
