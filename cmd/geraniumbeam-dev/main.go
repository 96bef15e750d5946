// Command geraniumbeam-dev runs a small deployment in one process: stand-ins of the
// platform and of one database group, and two instances. It is for evaluation and
// development, not for production.
package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"

	"geraniumbeam/internal/cli"
	"geraniumbeam/internal/devcluster"
	"geraniumbeam/internal/telemetry"
)

type grammar struct {
	Listen   string           `help:"Address for callers of the first instance." default:"127.0.0.1:6432"`
	LogLevel string           `help:"Lowest level logged: debug, info, warn or error." default:"warn" enum:"debug,info,warn,error"`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

var program = cli.Program{
	Name:        "geraniumbeam-dev",
	Description: "Runs a small deployment in one process and prints a PostgreSQL connection string. Ends on SIGTERM or Ctrl-C.",
}

func main() { cli.Main(start) }

func start(ctx context.Context, args []string, out, errOut io.Writer) int {
	var c grammar
	if k, code := program.Parse(&c, args, out, errOut); k == nil {
		return code
	}
	if err := run(ctx, c); err != nil {
		return program.Fail(errOut, cli.ExitFailed, err)
	}
	return cli.ExitOK
}

func run(ctx context.Context, c grammar) error {
	log, err := telemetry.NewLogger(os.Stderr, "dev", c.LogLevel)
	if err != nil {
		return err
	}
	cluster, err := devcluster.Start(devcluster.Config{ListenCallers: c.Listen, Log: log})
	if err != nil {
		return err
	}
	if err := cluster.WaitReady(ctx); err != nil {
		return err
	}
	answer, err := cluster.WriteAndRead(ctx)
	if err != nil {
		return err
	}
	fmt.Printf("Ready. Connect with any PostgreSQL client, for example:\n\n")
	fmt.Printf("  psql '%s'\n\n", cluster.URL())
	fmt.Printf("First query answered: %s\n", answer)
	fmt.Printf("Other instance: %s\nPlatform: %s\n", cluster.CallerAddress(1), cluster.PlatformURL())
	fmt.Printf("Try: geraniumbeamctl --platform %s status\n", cluster.PlatformURL())
	<-ctx.Done()
	return cluster.Stop()
}
