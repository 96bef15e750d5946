// Command geraniumbeamd runs one instance with the entry role and the pool role.
package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"

	"github.com/alecthomas/kong"

	"geraniumbeam/internal/cli"
	"geraniumbeam/internal/daemon"
	"geraniumbeam/internal/settings"
	"geraniumbeam/internal/telemetry"
	"geraniumbeam/internal/version"
)

type grammar struct {
	Settings string           `arg:"" type:"existingfile" help:"YAML settings file; see docs/configuration.md."`
	Check    bool             `help:"Validate the settings and exit."`
	Seed     uint64           `help:"Seed of the random number generator; 0 means a random seed."`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

var program = cli.Program{
	Name:        "geraniumbeamd",
	Description: "Runs one instance. SIGTERM starts a graceful shutdown. Exit codes: 0 success, 1 failure, 2 invalid usage or settings.",
}

func main() {
	// The settings are read only at the start, so SIGHUP changes nothing.
	_ = cli.CatchHangups()
	cli.Main(start)
}

func start(ctx context.Context, args []string, out, errOut io.Writer) int {
	var c grammar
	if k, code := program.Parse(&c, args, out, errOut); k == nil {
		return code
	}
	cfg, err := settings.Load(c.Settings)
	if err != nil {
		return program.Fail(errOut, cli.ExitUsage, err)
	}
	if c.Check {
		fmt.Fprintf(out, "%s is valid.\n", c.Settings)
		return cli.ExitOK
	}
	if err := run(ctx, cfg, c.Seed, errOut); err != nil {
		return program.Fail(errOut, cli.ExitFailed, err)
	}
	return cli.ExitOK
}

// run serves until ctx ends and the graceful shutdown that follows is complete.
func run(ctx context.Context, cfg settings.Settings, seed uint64, logOut io.Writer) error {
	log, err := telemetry.NewLogger(logOut, cfg.Instance, cfg.LogLevel)
	if err != nil {
		return err
	}
	if seed == 0 {
		seed = rand.Uint64()
	}
	log.Info().Str("part", telemetry.PartDaemon).Str("version", version.String()).Uint64("seed", seed).Msg("Starting.")
	l, err := daemon.Listen(cfg)
	if err != nil {
		return err
	}
	d := daemon.New(cfg, log, seed)
	go func() {
		<-ctx.Done()
		d.RequestDrain()
	}()
	return d.Run(context.Background(), l)
}
