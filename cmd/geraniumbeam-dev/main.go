// Command geraniumbeam-dev runs a small deployment in one process: the stand-ins
// of the platform and of one database group, and two instances. It is meant for
// a first look and for development, not for production.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"geraniumbeam/internal/devcluster"
	"geraniumbeam/internal/telemetry"
	"geraniumbeam/internal/version"
)

type cli struct {
	Listen   string           `help:"Address for callers of the first instance." default:"127.0.0.1:6432"`
	LogLevel string           `help:"Lowest level logged: debug, info, warn or error." default:"warn" enum:"debug,info,warn,error"`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

func main() {
	var c cli
	kong.Parse(&c,
		kong.Name("geraniumbeam-dev"),
		kong.Description("Runs a small deployment in one process and prints a PostgreSQL address. Ends on SIGTERM or Ctrl-C."),
		kong.Vars{"version": version.String()},
	)
	if err := run(c); err != nil {
		fmt.Fprintln(os.Stderr, "geraniumbeam-dev:", err)
		os.Exit(1)
	}
}

func run(c cli) error {
	log, err := telemetry.NewLogger(os.Stderr, "dev", c.LogLevel)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	cluster, err := devcluster.Start(devcluster.Config{ListenCallers: c.Listen, Log: log})
	if err != nil {
		return err
	}
	if err := cluster.WaitReady(ctx); err != nil {
		return err
	}
	answer, err := cluster.FirstQuery(ctx)
	if err != nil {
		return err
	}
	fmt.Printf("Ready. Connect with any PostgreSQL client, for example:\n\n")
	fmt.Printf("  psql '%s'\n\n", cluster.URL())
	fmt.Printf("First query answered: %s\n", answer)
	fmt.Printf("Other instance: %s\nPlatform: %s\n", cluster.Callers(1), cluster.PlatformURL())
	fmt.Printf("Try: geraniumbeamctl --platform %s status\n", cluster.PlatformURL())
	<-ctx.Done()
	return cluster.Stop()
}
