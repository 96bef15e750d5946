// Command geraniumbeam-load sends open-loop load through the proxy and reports the
// results that callers received.
//
// Exit codes: 0 success, 1 the run failed, 2 invalid usage or scenario.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/alecthomas/kong"

	"geraniumbeam/internal/cli"
	"geraniumbeam/internal/load"
	"geraniumbeam/internal/result"
)

type grammar struct {
	JSON    bool             `help:"Write the report as JSON."`
	Version kong.VersionFlag `help:"Print the version and exit."`

	Run     runCmd     `cmd:"" help:"Run a scenario. Example: geraniumbeam-load run examples/load/alliance-calm.yaml --address 127.0.0.1:7501 --vars 127.0.0.1:7801"`
	Check   checkCmd   `cmd:"" help:"Validate scenario files without running them."`
	Compare compareCmd `cmd:"" help:"Compare the latency of direct and proxied requests in a closed loop."`
	Idle    idleCmd    `cmd:"" help:"Open idle connections and report the memory per connection."`
}

type env struct {
	out     io.Writer
	json    bool
	command string
}

type report interface {
	WriteText(w io.Writer) error
}

func (e *env) write(r report) error {
	if !e.json {
		return r.WriteText(e.out)
	}
	enc := json.NewEncoder(e.out)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}

type runCmd struct {
	Scenario  string        `arg:"" type:"existingfile" help:"YAML file of the scenario."`
	Address   []string      `required:"" help:"HOST:PORT of an instance for callers; repeat or separate by commas."`
	Vars      []string      `help:"HOST:PORT of an instance's metrics, to report the share of replica reads."`
	Seed      *uint64       `help:"Overrides the scenario's seed."`
	Capacity  float64       `help:"Overrides the scenario's capacity in requests per second."`
	Scale     float64       `default:"1" help:"Multiplies all rates."`
	Duration  time.Duration `help:"Ends the run before the scenario's duration has passed."`
	SkipSetup bool          `help:"Do not create tables and rows."`
}

func (c *runCmd) Run(ctx context.Context, e *env) error {
	s, err := load.ReadScenario(c.Scenario)
	if err != nil {
		return err
	}
	if c.Seed != nil {
		s.Seed = *c.Seed
	}
	if c.Scale <= 0 || c.Capacity < 0 || c.Duration < 0 {
		return result.Errorf(result.Invalid, "scale %v, capacity %v and duration %v: want positive values", c.Scale, c.Capacity, c.Duration)
	}
	if s, err = s.WithOverrides(c.Capacity, c.Scale, c.Duration); err != nil {
		return err
	}
	r, err := load.Run(ctx, s, load.Options{Addresses: c.Address, MetricsAddresses: c.Vars, Command: e.command, SkipSetup: c.SkipSetup})
	if r == nil {
		return err
	}
	if werr := e.write(r); err == nil {
		err = werr
	}
	return err
}

type checkCmd struct {
	Scenario []string `arg:"" type:"existingfile" help:"YAML files of scenarios."`
}

func (c *checkCmd) Run(e *env) error {
	for _, path := range c.Scenario {
		s, err := load.ReadScenario(path)
		if err != nil {
			return err
		}
		fmt.Fprintf(e.out, "%s: %s, %d classes, %v\n", path, s.Name, len(s.Classes), s.Duration.Std())
	}
	return nil
}

type compareCmd struct {
	Direct  string        `required:"" help:"Connection string of a database, such as postgres://user@127.0.0.1:7711/hut-ledger."`
	Proxy   string        `required:"" help:"Connection string of an instance, such as postgres://user@127.0.0.1:7501/hut-ledger."`
	Setup   []string      `sep:"none" help:"Statement to run once through the proxy; repeat for several."`
	SQL     string        `name:"sql" default:"SELECT 1" help:"Statement; {n} and {caller} are replaced by numbers."`
	Callers int           `default:"1" help:"Number of callers, each with its own connection."`
	Rounds  int           `default:"20" help:"Number of rounds; each round measures both paths."`
	Batch   int           `default:"100" help:"Requests per caller, path and round."`
	Timeout time.Duration `default:"10s" help:"Time limit of one request."`
}

func (c *compareCmd) Run(ctx context.Context, e *env) error {
	r, err := load.Compare(ctx, load.CompareOptions{
		Direct: c.Direct, Proxy: c.Proxy, Setup: c.Setup, SQL: c.SQL, Callers: c.Callers,
		Rounds: c.Rounds, Batch: c.Batch, Timeout: c.Timeout, Command: e.command,
	})
	if err != nil {
		return err
	}
	return e.write(r)
}

type idleCmd struct {
	Address     []string      `required:"" help:"HOST:PORT of an instance for callers."`
	Vars        []string      `required:"" help:"HOST:PORT of the same instances' metrics."`
	Service     string        `required:"" help:"Service name."`
	Class       string        `help:"Class of the connections."`
	Connections int           `default:"1000" help:"Number of connections to open."`
	Hold        time.Duration `default:"60s" help:"Longest wait for a garbage collection, before the connections are opened and while they are open."`
}

func (c *idleCmd) Run(ctx context.Context, e *env) error {
	r, err := load.MeasureIdle(ctx, load.IdleOptions{
		Addresses: c.Address, MetricsAddresses: c.Vars, Service: c.Service, Class: c.Class,
		Connections: c.Connections, GCTimeout: c.Hold, Command: e.command,
	})
	if err != nil {
		return err
	}
	return e.write(r)
}

var program = cli.Program{
	Name:        "geraniumbeam-load",
	Description: "Sends open-loop load through geraniumbeam and reports the results that callers received.",
}

func main() { cli.Main(run) }

func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	var c grammar
	k, code := program.Parse(&c, args, out, errOut)
	if k == nil {
		return code
	}
	k.BindTo(ctx, (*context.Context)(nil))
	err := k.Run(&env{out: out, json: c.JSON, command: program.Name + " " + strings.Join(args, " ")})
	switch {
	case err == nil:
		return cli.ExitOK
	case result.Is(err, result.Invalid):
		return program.Fail(errOut, cli.ExitUsage, err)
	default:
		return program.Fail(errOut, cli.ExitFailed, err)
	}
}
