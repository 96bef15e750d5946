package main

import (
	"context"
	"fmt"
	"net"
	"os/signal"
	"syscall"
	"time"

	"geraniumbeam/internal/standin/platform"
)

// platformCommand is the command that runs the stand-in of the platform's service.
type platformCommand struct {
	Listen       string        `help:"Address to listen on." default:"127.0.0.1:7400"`
	Seed         string        `help:"YAML file with the initial instances, groups, services and classes." type:"existingfile"`
	ListLag      time.Duration `help:"Delay until a change of the instance list is visible." default:"10s"`
	HeartbeatTTL time.Duration `help:"Time after a heartbeat for which an instance stays listed." default:"10s"`
	WriteRate    float64       `help:"Limit of writes per second." default:"300"`
	ReadRate     float64       `help:"Limit of reads per second." default:"2000"`
	RandomSeed   uint64        `help:"Seed of the random choice of calls that faults affect." default:"1"`
}

// Run serves until SIGINT or SIGTERM.
func (c *platformCommand) Run() error {
	cfg := platform.Config{
		ListLag: c.ListLag, HeartbeatTTL: c.HeartbeatTTL,
		WriteRate: c.WriteRate, ReadRate: c.ReadRate, RandomSeed: c.RandomSeed,
	}
	if c.ListLag == 0 {
		cfg.ListLag = -1
	}
	if c.Seed != "" {
		seed, err := platform.LoadSeed(c.Seed)
		if err != nil {
			return err
		}
		cfg.Seed = seed
	}
	s, err := platform.New(cfg)
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	context.AfterFunc(ctx, s.Close)
	fmt.Printf("platform stand-in listens on http://%s\n", l.Addr())
	return s.Serve(l)
}
