package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/goccy/go-yaml"

	"geraniumbeam/internal/standin/database"
	"geraniumbeam/internal/telemetry"
)

// databaseCommand has a flag for each setting. Values from a file override the
// flags.
type databaseCommand struct {
	File             string            `yaml:"-" help:"YAML file with the same settings, with underscores in their names." type:"existingfile"`
	Name             string            `yaml:"name" help:"Name of the database."`
	Listen           string            `yaml:"listen" help:"Address to listen on (host:port)."`
	Peers            map[string]string `yaml:"peers" help:"Databases of the group, as name=host:port."`
	Primary          string            `yaml:"primary" help:"Name of the initial primary. Without it the database starts fenced."`
	Term             uint64            `yaml:"term" default:"1" help:"Initial term."`
	Slots            int               `yaml:"slots" default:"2" help:"Maximum number of concurrent statements."`
	ServiceTime      time.Duration     `yaml:"service_time" default:"0s" help:"Time that a statement occupies a slot."`
	ConnectionLimit  int               `yaml:"connection_limit" default:"16" help:"Maximum number of connections."`
	ConnectDelay     time.Duration     `yaml:"connect_delay" default:"12ms" help:"Time to accept a connection."`
	ReplicationDelay time.Duration     `yaml:"replication_delay" default:"0s" help:"One-way delay to each replica."`
	ApplyLag         time.Duration     `yaml:"apply_lag" default:"0s" help:"Time by which a replica delays applying log entries."`
	Overrides        map[string]string `yaml:"overrides" help:"Addresses to dial instead of others, as host:port=host:port."`
	Unsafe           bool              `yaml:"unsafe" help:"Allow promotion without raising the term."`
	DataDir          string            `yaml:"data_dir" help:"Directory in which log, term and role are stored. Without it the data is lost when the process ends."`
	LogLevel         string            `yaml:"log_level" default:"info" help:"debug, info, warn or error."`
}

// Run serves the database until ctx ends.
func (c *databaseCommand) Run(ctx context.Context) error {
	if err := c.load(); err != nil {
		return err
	}
	log, err := telemetry.NewLogger(os.Stderr, c.Name, c.LogLevel)
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	s := database.New(database.Config{
		Name:             c.Name,
		Peers:            c.Peers,
		Primary:          c.Primary,
		Term:             c.Term,
		Slots:            c.Slots,
		ServiceTime:      c.ServiceTime,
		ConnectionLimit:  c.ConnectionLimit,
		ConnectDelay:     c.ConnectDelay,
		ReplicationDelay: c.ReplicationDelay,
		ApplyLag:         c.ApplyLag,
		Overrides:        c.Overrides,
		Unsafe:           c.Unsafe,
		DataDir:          c.DataDir,
		Log:              telemetry.PartLogger(log, telemetry.PartStandin),
	})
	stop := context.AfterFunc(ctx, s.Close)
	defer stop()
	fmt.Printf("database %s listens on %s\n", c.Name, l.Addr())
	return s.Serve(l)
}

func (c *databaseCommand) load() error {
	if c.File != "" {
		f, err := os.Open(c.File)
		if err != nil {
			return fmt.Errorf("read settings: %w", err)
		}
		defer f.Close()
		if err := yaml.NewDecoder(f, yaml.Strict()).Decode(c); err != nil {
			return fmt.Errorf("parse settings in %s: %w", c.File, err)
		}
	}
	if c.Name == "" {
		return fmt.Errorf("setting name is empty, want the name of the database")
	}
	if c.Listen == "" {
		return fmt.Errorf("setting listen is empty, want host:port")
	}
	if c.Primary != "" && c.Primary != c.Name && c.Peers[c.Primary] == "" {
		return fmt.Errorf("setting primary is %q, want the database itself or one of peers", c.Primary)
	}
	return nil
}
