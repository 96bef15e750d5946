package main

import (
	"fmt"
	"io"
	"os"
	"strings"

	"geraniumbeam/internal/cli"
	"geraniumbeam/internal/explain"
)

type explainCommand struct {
	ID    string   `arg:"" help:"Id of the request."`
	Files []string `arg:"" optional:"" type:"existingfile" help:"Logs of one or more instances; by default standard input."`
}

type timelineCommand struct {
	Service string   `help:"Print only events of this service." placeholder:"NAME"`
	Files   []string `arg:"" optional:"" type:"existingfile" help:"Logs of one or more instances; by default standard input."`
}

func (c explainCommand) run(out, errOut io.Writer) int {
	lines, err := readLogs(c.Files, errOut)
	if err != nil {
		return program.Fail(errOut, cli.ExitFailed, err)
	}
	if !explain.Request(out, lines, c.ID) {
		return cli.ExitFailed
	}
	return cli.ExitOK
}

func (c timelineCommand) run(out, errOut io.Writer) int {
	lines, err := readLogs(c.Files, errOut)
	if err != nil {
		return program.Fail(errOut, cli.ExitFailed, err)
	}
	explain.Timeline(out, lines, c.Service)
	return cli.ExitOK
}

// readLogs reads the log lines of all files, or of standard input if there are
// none. It reports lines that it cannot parse on errOut.
func readLogs(files []string, errOut io.Writer) ([]explain.Line, error) {
	readers := []io.Reader{os.Stdin}
	if len(files) > 0 {
		readers = nil
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, fmt.Errorf("open log: %w", err)
		}
		defer func() { _ = f.Close() }() // opened for reading only
		readers = append(readers, f, strings.NewReader("\n"))
	}
	lines, skipped, err := explain.Read(io.MultiReader(readers...))
	if skipped > 0 {
		fmt.Fprintf(errOut, "%s: skipped %d lines that are not log lines\n", program.Name, skipped)
	}
	return lines, err
}
