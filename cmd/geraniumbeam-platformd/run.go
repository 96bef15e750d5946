package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"geraniumbeam/internal/asynclog"
	"geraniumbeam/internal/dbpool"
	"geraniumbeam/internal/peer"
	"geraniumbeam/internal/platformd"
	"geraniumbeam/internal/proxy"
	"geraniumbeam/internal/telemetry"
	"geraniumbeam/internal/version"
	"geraniumbeam/platform"
)

const (
	// memoryShare is the part of the memory limit, in percent, that the
	// garbage collector keeps the heap below. The rest is for stacks and
	// buffers of the kernel.
	memoryShare = 55
	// settingsPeriod is the pause between two looks at the settings file,
	// which may change without a signal.
	settingsPeriod = 2 * time.Second
	// reservedFiles are descriptors for connections to databases, the store and
	// peers, and for files: 24 databases with 8 connections each take 192.
	reservedFiles = 500
	// pathMetrics is the path of the metrics.
	pathMetrics = "GET /metrics"
)

// run serves until stop ends and the shutdown that follows is complete.
func run(stop context.Context, path string, raw []byte, s platform.Settings, level string, out io.Writer) error {
	lines := asynclog.NewWriter(out)
	defer lines.Close()
	log, err := telemetry.NewLogger(lines, s.Instance, level)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(s.MemoryMB) << 20 * memoryShare / 100)
	log.Info().Str("part", "main").Str("version", version.String()).Interface("settings", s).Msg("Starting.")

	store := platform.NewStore(s.Store)
	promoter := platform.NewPromotionClient(s.Promotions)
	go watchSettings(stop, path, raw, log, store, promoter)

	listeners, err := listen(s)
	if err != nil {
		return err
	}
	instance := platformd.New(platformd.Config{
		Instance: s.Instance, DataCentre: s.DataCentre, Address: s.ListenInner, Source: store, Store: store, Promotions: promoter,
		Dial: func(ctx context.Context, address, service, id string) (dbpool.Conn, error) {
			return platform.DialDatabase(ctx, address, service, id, s.Instance)
		},
		NewCallerConn: func(c net.Conn) proxy.CallerConn { return platform.NewCallerConn(c) },
		Log:           log,
		MaxSessions:   max(1, s.MaxOpenFiles-reservedFiles),
		GracePeriod:   time.Duration(s.GracePeriod),
		DrainTime:     time.Duration(s.DrainTime),
	})
	return instance.Run(stop, listeners, platform.ReadinessHandler(instance.Ready), innerHandler(instance, store, log))
}

func listen(s platform.Settings) (platformd.Listeners, error) {
	var l platformd.Listeners
	for _, x := range []struct {
		field, address string
		out            *net.Listener
	}{
		{"listen_callers", s.ListenCallers, &l.Callers},
		{"listen_ready", s.ListenReady, &l.Ready},
		{"listen_inner", s.ListenInner, &l.Inner},
	} {
		var err error
		if *x.out, err = net.Listen("tcp4", x.address); err != nil {
			return l, fmt.Errorf("%s: %w", x.field, err)
		}
	}
	return l, nil
}

func innerHandler(i *platformd.Instance, store *platform.Store, log zerolog.Logger) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peer.PathPrefix, i.PeerHandler())
	mux.HandleFunc(pathMetrics, func(w http.ResponseWriter, _ *http.Request) {
		if err := i.WriteMetrics(w); err != nil {
			log.Warn().Err(err).Msg("The metrics were not written.")
			return
		}
		store.Calls.WriteText(w)
	})
	return mux
}

// watchSettings applies addresses that change while the process runs. A file
// that is damaged changes nothing.
func watchSettings(ctx context.Context, path string, known []byte, log zerolog.Logger, store *platform.Store, promoter *platform.PromotionClient) {
	log = log.With().Str("part", "settings").Logger()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	t := time.NewTicker(settingsPeriod)
	defer t.Stop()
	for {
		signalled := false
		select {
		case <-hup:
			signalled = true
		case <-t.C:
		case <-ctx.Done():
			// SIGHUP stays handled: it must not end a process that is stopping.
			return
		}
		data, err := os.ReadFile(path)
		if err != nil {
			log.Warn().Err(err).Msg("The settings can't be read; the last ones stay in force.")
			continue
		}
		if bytes.Equal(data, known) {
			if signalled {
				log.Info().Msg("Reloaded; the settings are unchanged.")
			}
			continue
		}
		known = data
		s, err := platform.ParseSettings(data)
		if err != nil {
			log.Warn().Err(err).Msg("The new settings are damaged; the last ones stay in force.")
			continue
		}
		store.SetAddress(s.Store)
		promoter.SetAddress(s.Promotions)
		log.Info().Interface("settings", s).Msg("Reloaded; new settings are in force.")
	}
}
