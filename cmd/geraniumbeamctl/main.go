// Command geraniumbeamctl is the operators' tool. It changes services and classes
// and shows the state and events of the instances.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"geraniumbeam/internal/cli"
	"geraniumbeam/internal/ctl"
	"geraniumbeam/internal/platform"
	"geraniumbeam/internal/wire"
)

type grammar struct {
	Platform string           `help:"Base URL of the platform's object API." default:"http://127.0.0.1:7400" env:"GERANIUMBEAM_PLATFORM"`
	Instance []string         `help:"Inner address HOST:PORT of an instance to query; repeat for several. Default: the platform's list."`
	Version  kong.VersionFlag `help:"Print the version and exit."`

	Apply        applyCmd        `cmd:"" help:"Store services and classes. Example: geraniumbeamctl apply classes.yaml --wait"`
	Get          getCmd          `cmd:"" help:"Print the configuration as a file that apply accepts."`
	Diff         diffCmd         `cmd:"" help:"Print what apply would change."`
	Check        checkCmd        `cmd:"" help:"Validate a file without a running system."`
	Status       statusCmd       `cmd:"" help:"Show a summary of all instances and groups."`
	Explain      explainCmd      `cmd:"" help:"Show what happened to a request. Example: geraniumbeamctl explain 0f3a..."`
	ExplainClass explainClassCmd `cmd:"" help:"Describe how the system handles a class."`
	Timeline     timelineCmd     `cmd:"" help:"Show the recorded events of a group."`
	Drain        drainCmd        `cmd:"" help:"Start a graceful shutdown of one instance."`
}

type applyCmd struct {
	File    string        `arg:"" type:"existingfile" help:"YAML file with services and classes."`
	Expect  uint64        `help:"Fail if a changed object is newer than this version."`
	Wait    bool          `help:"Return only when the change is in force on every instance."`
	Timeout time.Duration `help:"Time limit of --wait." default:"10s"`
}

func (c *applyCmd) Run(ctx context.Context, env *ctl.Env) error {
	return withFile(c.File, func(data []byte) error {
		return env.Apply(ctx, data, ctl.ApplyOptions{Expect: c.Expect, Wait: c.Wait, Timeout: c.Timeout})
	})
}

type getCmd struct{}

func (getCmd) Run(ctx context.Context, env *ctl.Env) error { return env.Get(ctx) }

type diffCmd struct {
	File string `arg:"" type:"existingfile" help:"YAML file with services and classes."`
}

func (c *diffCmd) Run(ctx context.Context, env *ctl.Env) error {
	return withFile(c.File, func(data []byte) error { return env.Diff(ctx, data) })
}

type checkCmd struct {
	File string `arg:"" type:"existingfile" help:"YAML file with services and classes."`
}

func (c *checkCmd) Run(env *ctl.Env) error { return withFile(c.File, env.Check) }

type statusCmd struct{}

func (statusCmd) Run(ctx context.Context, env *ctl.Env) error { return env.Status(ctx) }

type explainCmd struct {
	Request string `arg:"" name:"request-id" help:"Request ID, as in error messages and logs."`
}

func (c *explainCmd) Run(ctx context.Context, env *ctl.Env) error { return env.Explain(ctx, c.Request) }

type explainClassCmd struct {
	Name string `arg:"" help:"Class name, or SERVICE.CLASS."`
}

func (c *explainClassCmd) Run(ctx context.Context, env *ctl.Env) error {
	return env.ExplainClass(ctx, c.Name)
}

type timelineCmd struct {
	Group string `arg:"" help:"Group name."`
	Limit int    `help:"Number of events per instance." default:"200"`
}

func (c *timelineCmd) Run(ctx context.Context, env *ctl.Env) error {
	return env.Timeline(ctx, c.Group, c.Limit)
}

type drainCmd struct {
	Address string `arg:"" help:"Inner address HOST:PORT of the instance."`
}

func (c *drainCmd) Run(ctx context.Context, env *ctl.Env) error { return env.Drain(ctx, c.Address) }

func withFile(path string, use func([]byte) error) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("%w: %w", ctl.ErrUsage, err)
	}
	if err := use(data); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

var program = cli.Program{
	Name:        "geraniumbeamctl",
	Description: "Changes services and classes and shows the state of the instances. Exit codes: 0 success, 1 refused, 2 invalid usage or input, 3 unreachable.",
}

func main() { cli.Main(run) }

func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	var c grammar
	k, code := program.Parse(&c, args, out, errOut)
	if k == nil {
		return code
	}
	clients := wire.NewClients(nil)
	defer clients.Close()
	k.BindTo(ctx, (*context.Context)(nil))
	err := k.Run(&ctl.Env{
		Out:       out,
		Platform:  platform.NewClient(c.Platform, platform.Options{}),
		Clients:   clients,
		Instances: c.Instance,
	})
	if err != nil {
		return program.Fail(errOut, ctl.ExitCode(err), err)
	}
	return cli.ExitOK
}
