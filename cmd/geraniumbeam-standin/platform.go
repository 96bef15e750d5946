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

// platformCommand runs the stand-in of the platform's service.
type platformCommand struct {
	Listen       string        `help:"Address to listen on." default:"127.0.0.1:7400"`
	Seed         string        `help:"YAML file with instances, groups, services and classes to start from." type:"existingfile"`
	ListLag      time.Duration `help:"Delay until a change of the instance list is seen." default:"10s"`
	HeartbeatTTL time.Duration `help:"How long an instance stays listed after a heartbeat." default:"10s"`
	WriteRate    float64       `help:"Writes per second." default:"300"`
	ReadRate     float64       `help:"Reads per second." default:"2000"`
	RandomSeed   uint64        `help:"Seed that decides which calls a fault hits." default:"1"`
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
