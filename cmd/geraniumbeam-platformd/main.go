// Command geraniumbeam-platformd runs one instance on the users' platform.
package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"

	"geraniumbeam/internal/cli"
	"geraniumbeam/platform"
)

type grammar struct {
	Run     runCommand       `cmd:"" help:"Run the instance. SIGTERM starts a graceful shutdown."`
	Check   checkCommand     `cmd:"" help:"Check a settings file and exit."`
	Version kong.VersionFlag `help:"Print the version and exit."`
}

type runCommand struct {
	Settings string `help:"YAML settings file; by default the one that the platform names." placeholder:"PATH"`
	LogLevel string `help:"Lowest level logged." enum:"debug,info,warn,error" default:"info"`
}

type checkCommand struct {
	Settings string `arg:"" help:"YAML settings file; see docs/platform.md."`
}

var program = cli.Program{
	Name:        "geraniumbeam-platformd",
	Description: "Runs one instance on the users' platform. Exit codes: 0 done, 1 failed, 2 bad usage or settings.",
}

func main() { cli.Main(start) }

func start(ctx context.Context, args []string, out, errOut io.Writer) int {
	var c grammar
	k, code := program.Parse(&c, args, out, errOut)
	if k == nil {
		return code
	}
	path := c.Run.Settings
	if k.Command() == "check <settings>" {
		path = c.Check.Settings
	} else if path == "" {
		path = platform.SettingsPath()
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return program.Fail(errOut, cli.ExitUsage, fmt.Errorf("read settings: %w", err))
	}
	settings, err := platform.ParseSettings(data)
	if err != nil {
		return program.Fail(errOut, cli.ExitUsage, fmt.Errorf("%s: %w", path, err))
	}
	if k.Command() == "check <settings>" {
		fmt.Fprintf(out, "%s is valid.\n", path)
		return cli.ExitOK
	}
	if err := run(ctx, path, data, settings, c.Run.LogLevel, out); err != nil {
		return program.Fail(errOut, cli.ExitFailed, err)
	}
	return cli.ExitOK
}
