// Command geraniumbeam-standin runs a stand-in for a part of the environment.
package main

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

type cli struct {
	Database databaseCommand `cmd:"" help:"Run one database of a group."`
	Platform platformCommand `cmd:"" help:"Run the platform's service."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	var c cli
	k := kong.Parse(&c, kong.Description("Stand-ins for the environment of geraniumbeam."),
		kong.BindTo(ctx, (*context.Context)(nil)))
	k.FatalIfErrorf(k.Run())
}
