// Command geraniumbeam-platformd runs one instance on the users' platform, and
// evaluates the logs of instances.
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
	Run      runCommand       `cmd:"" help:"Run the instance. SIGTERM starts a graceful shutdown."`
	Check    checkCommand     `cmd:"" help:"Check a settings file and exit."`
	Explain  explainCommand   `cmd:"" help:"Explain the outcome of a request from log lines."`
	Timeline timelineCommand  `cmd:"" help:"Print the events of instances over time, without requests, from log lines."`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

type runCommand struct {
	Settings string `help:"YAML settings file; by default the path that the platform sets in the environment." placeholder:"PATH"`
	LogLevel string `help:"Lowest level logged." enum:"debug,info,warn,error" default:"info"`
}

type checkCommand struct {
	Settings string `arg:"" help:"YAML settings file; see docs/platform.md."`
}

var program = cli.Program{
	Name:        "geraniumbeam-platformd",
	Description: "Runs one instance on the users' platform. Exit codes: 0 done, 1 failed, 2 bad usage or settings.",
}

func main() {
	hangups := cli.CatchHangups()
	cli.Main(func(ctx context.Context, args []string, out, errOut io.Writer) int {
		return start(ctx, args, hangups, out, errOut)
	})
}

func start(ctx context.Context, args []string, hangups <-chan os.Signal, out, errOut io.Writer) int {
	var c grammar
	k, code := program.Parse(&c, args, out, errOut)
	if k == nil {
		return code
	}
	switch k.Command() {
	case "explain <id>", "explain <id> <files>":
		return c.Explain.run(out, errOut)
	case "timeline", "timeline <files>":
		return c.Timeline.run(out, errOut)
	case "check <settings>":
		if _, _, err := load(c.Check.Settings); err != nil {
			return program.Fail(errOut, cli.ExitUsage, err)
		}
		fmt.Fprintf(out, "%s is valid.\n", c.Check.Settings)
		return cli.ExitOK
	}
	path := c.Run.Settings
	if path == "" {
		path = platform.SettingsPath()
	}
	raw, settings, err := load(path)
	if err != nil {
		return program.Fail(errOut, cli.ExitUsage, err)
	}
	if err := run(ctx, path, raw, settings, c.Run.LogLevel, hangups, out); err != nil {
		return program.Fail(errOut, cli.ExitFailed, err)
	}
	return cli.ExitOK
}

// load reads and validates a settings file.
func load(path string) ([]byte, platform.Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, platform.Settings{}, fmt.Errorf("read settings: %w", err)
	}
	settings, err := platform.ParseSettings(raw)
	if err != nil {
		return nil, settings, fmt.Errorf("%s: %w", path, err)
	}
	return raw, settings, nil
}
