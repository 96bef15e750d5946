// Command geraniumbeamd runs one instance: entry role and pool role.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"geraniumbeam/internal/daemon"
	"geraniumbeam/internal/settings"
	"geraniumbeam/internal/telemetry"
	"geraniumbeam/internal/version"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

type cli struct {
	Settings string           `arg:"" type:"existingfile" help:"YAML settings file; see docs/configuration.md."`
	Check    bool             `help:"Check the settings and exit."`
	Seed     uint64           `help:"Seed of the instance's random source; 0 picks one."`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

func main() {
	var c cli
	parser := kong.Must(&c,
		kong.Name("geraniumbeamd"),
		kong.Description("Runs one instance. SIGTERM starts a graceful shutdown. Exit codes: 0 done, 1 failed, 2 bad usage or settings."),
		kong.Vars{"version": version.String()},
		kong.UsageOnError(),
	)
	if _, err := parser.Parse(os.Args[1:]); err != nil {
		fail(exitUsage, err)
	}
	cfg, err := settings.Load(c.Settings)
	if err != nil {
		fail(exitUsage, err)
	}
	if c.Check {
		fmt.Printf("%s is valid.\n", c.Settings)
		return
	}
	if err := run(cfg, c.Seed); err != nil {
		fail(exitFailed, err)
	}
}

func fail(code int, err error) {
	fmt.Fprintln(os.Stderr, "geraniumbeamd:", err)
	os.Exit(code)
}

func run(cfg settings.Settings, seed uint64) error {
	log, err := telemetry.NewLogger(os.Stderr, cfg.Instance, cfg.LogLevel)
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
	term, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	go func() {
		<-term.Done()
		d.RequestDrain()
	}()
	return d.Run(context.Background(), l)
}
