// Package cli holds the command-line parsing that the commands share.
package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"geraniumbeam/internal/version"
)

// Exit codes that the commands share.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2 // the command line or an input file is invalid
)

// Program is the name and description of a command.
type Program struct {
	Name        string
	Description string
}

// Parse parses args into grammar, a pointer to a kong struct. If parsed is nil, the
// program must exit with code: the arguments were invalid or requested help or the
// version.
func (p Program) Parse(grammar any, args []string, out, errOut io.Writer) (parsed *kong.Context, code int) {
	exited := -1
	parser, err := kong.New(grammar, kong.Name(p.Name), kong.Description(p.Description), kong.Writers(out, errOut),
		kong.Exit(func(n int) { exited = n }), kong.Vars{"version": version.String()})
	if err != nil {
		return nil, p.Fail(errOut, ExitUsage, err)
	}
	parsed, err = parser.Parse(args)
	switch {
	case exited >= 0:
		return nil, exited
	case err != nil:
		return nil, p.Fail(errOut, ExitUsage, err)
	}
	return parsed, ExitOK
}

// Fail prints err with the program's name and returns code.
func (p Program) Fail(errOut io.Writer, code int, err error) int {
	fmt.Fprintf(errOut, "%s: %v\n", p.Name, err)
	return code
}

// CatchHangups returns a channel that receives SIGHUP. A server calls it before
// anything else: until then the signal ends the process.
func CatchHangups() <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}

// Main calls run with the arguments of the process and exits with the code that it
// returns. The context ends on SIGINT and SIGTERM.
func Main(run func(ctx context.Context, args []string, out, errOut io.Writer) int) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
