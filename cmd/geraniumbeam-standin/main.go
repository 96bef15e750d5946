// Command geraniumbeam-standin runs a stand-in for a database or for the platform's
// service, for tests and examples.
package main

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

type grammar struct {
	Database databaseCommand `cmd:"" help:"Run the stand-in of one database of a group."`
	Platform platformCommand `cmd:"" help:"Run the stand-in of the platform's service."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	var c grammar
	k := kong.Parse(&c, kong.Description("Runs stand-ins for the databases and the platform that geraniumbeam uses."),
		kong.BindTo(ctx, (*context.Context)(nil)))
	k.FatalIfErrorf(k.Run())
}
