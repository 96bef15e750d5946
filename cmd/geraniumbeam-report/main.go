// Command geraniumbeam-report reports the error-budget burn per class and data
// centre from the counters of all instances.
//
// Exit codes: 0 success, 1 a file could not be read or written, 2 invalid usage,
// 3 an instance did not answer.
package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kong"

	"geraniumbeam/internal/catalog"
	"geraniumbeam/internal/cli"
	"geraniumbeam/internal/report"
	"geraniumbeam/internal/result"
)

// exitUnreachable is the exit code if at least one instance did not answer.
const exitUnreachable = 3

type grammar struct {
	Address     []string         `help:"HOST:PORT of an instance's metrics; repeat or separate by commas."`
	AddressFile string           `type:"existingfile" help:"File with one address per line; # starts a comment."`
	Saved       string           `type:"existingfile" help:"Read samples from a file written by --save instead of querying instances."`
	Save        string           `help:"Write the samples to this file, one JSON object per line."`
	Samples     int              `default:"2" help:"Number of samples to take."`
	Interval    time.Duration    `default:"10s" help:"Time between samples."`
	Classes     []string         `type:"existingfile" help:"YAML file with classes and their objectives."`
	Objective   float64          `default:"0.99" help:"Objective of classes that are not in --classes."`
	Period      time.Duration    `default:"720h" help:"Period to which the objectives apply."`
	JSON        bool             `help:"Write the report as JSON."`
	Plot        string           `help:"Plot the report to this .svg or .png file."`
	Version     kong.VersionFlag `help:"Print the version and exit."`
}

const maxSamples = 10000

func (c *grammar) check(addresses []string) error {
	invalid := func(format string, args ...any) error { return result.Errorf(result.Invalid, format, args...) }
	switch {
	case c.Saved == "" && len(addresses) == 0:
		return invalid("no instance is given: want --address, --address-file or --saved")
	case c.Saved != "" && len(addresses) > 0:
		return invalid("--saved cannot be combined with addresses: want one of them")
	case c.Samples < 2 || c.Samples > maxSamples:
		return invalid("--samples has value %d: want 2 to %d", c.Samples, maxSamples)
	case c.Interval <= 0:
		return invalid("--interval has value %v: want more than 0", c.Interval)
	case c.Objective <= 0 || c.Objective >= 1:
		return invalid("--objective has value %v: want more than 0 and less than 1", c.Objective)
	case c.Period <= 0:
		return invalid("--period has value %v: want more than 0", c.Period)
	case c.Plot != "":
		return report.CheckPlotPath(c.Plot)
	}
	return nil
}

func (c *grammar) run(ctx context.Context, out io.Writer) (int, error) {
	addresses, err := c.addresses()
	if err != nil {
		return cli.ExitFailed, err
	}
	if err := c.check(addresses); err != nil {
		return cli.ExitUsage, err
	}
	classes, err := c.classes()
	if err != nil {
		return cli.ExitUsage, err
	}
	samples, err := c.samples(ctx, addresses)
	if err != nil {
		return cli.ExitFailed, err
	}
	r, err := report.Compute(samples, report.Options{Classes: classes, Objective: c.Objective, Period: c.Period})
	if err != nil {
		return cli.ExitUsage, err
	}
	write := r.WriteText
	if c.JSON {
		write = r.WriteJSON
	}
	if err := write(out); err != nil {
		return cli.ExitFailed, err
	}
	if c.Plot != "" {
		if err := r.WritePlot(c.Plot); err != nil {
			return cli.ExitFailed, err
		}
	}
	if len(r.Unreachable) > 0 {
		return exitUnreachable, nil
	}
	return 0, nil
}

func (c *grammar) addresses() ([]string, error) {
	out := c.Address
	if c.AddressFile == "" {
		return out, nil
	}
	f, err := os.Open(c.AddressFile)
	if err != nil {
		return nil, fmt.Errorf("read addresses: %w", err)
	}
	defer f.Close()
	sc := bufio.NewScanner(f)
	for sc.Scan() {
		line, _, _ := strings.Cut(sc.Text(), "#")
		if line = strings.TrimSpace(line); line != "" {
			out = append(out, line)
		}
	}
	return out, sc.Err()
}

func (c *grammar) classes() ([]catalog.Class, error) {
	var out []catalog.Class
	for _, path := range c.Classes {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("read classes: %w", err)
		}
		m, err := catalog.ParseManifest(data, nil)
		if err != nil {
			return nil, fmt.Errorf("parse classes %s: %w", path, err)
		}
		out = append(out, m.Classes...)
	}
	return out, nil
}

func (c *grammar) samples(ctx context.Context, addresses []string) ([]report.Sample, error) {
	if c.Saved != "" {
		f, err := os.Open(c.Saved)
		if err != nil {
			return nil, fmt.Errorf("read samples: %w", err)
		}
		defer f.Close()
		return report.ReadSamples(f)
	}
	samples, err := report.TakeSamples(ctx, addresses, c.Samples, c.Interval)
	if err != nil || c.Save == "" {
		return samples, err
	}
	f, err := os.Create(c.Save)
	if err != nil {
		return nil, fmt.Errorf("save samples: %w", err)
	}
	if err := report.WriteSamples(f, samples); err != nil {
		f.Close()
		return nil, err
	}
	return samples, f.Close()
}

var program = cli.Program{
	Name:        "geraniumbeam-report",
	Description: "Reports the error-budget burn per class and data centre. Example: geraniumbeam-report --address 127.0.0.1:7801 --interval 1m",
}

func main() { cli.Main(run) }

func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	var c grammar
	if k, code := program.Parse(&c, args, out, errOut); k == nil {
		return code
	}
	code, err := c.run(ctx, out)
	if err != nil {
		return program.Fail(errOut, code, err)
	}
	return code
}
