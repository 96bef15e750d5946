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
	Service string   `help:"Only what concerns this service." placeholder:"NAME"`
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

// readLogs reads all files, or standard input if there are none.
func readLogs(files []string, errOut io.Writer) ([]explain.Line, error) {
	readers := []io.Reader{os.Stdin}
	if len(files) > 0 {
		readers = nil
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, fmt.Errorf("open the log: %w", err)
		}
		defer func() { _ = f.Close() }() // it was only read
		readers = append(readers, f, strings.NewReader("\n"))
	}
	lines, skipped, err := explain.Read(io.MultiReader(readers...))
	if skipped > 0 {
		fmt.Fprintf(errOut, "%s: %d lines were no log lines\n", program.Name, skipped)
	}
	return lines, err
}
