package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"

	"geraniumbeam/internal/asynclog"
	"geraniumbeam/internal/dbpool"
	"geraniumbeam/internal/peer"
	"geraniumbeam/internal/platformd"
	"geraniumbeam/internal/proxy"
	"geraniumbeam/internal/quota"
	"geraniumbeam/internal/telemetry"
	"geraniumbeam/internal/version"
	"geraniumbeam/platform"
)

const (
	// memoryShare is the soft memory limit of the Go runtime as a percentage of
	// the process's limit. The rest is for stacks and for buffers in the kernel.
	memoryShare = 55
	// settingsPeriod is the polling interval of the settings file, which may
	// change without a signal.
	settingsPeriod = 2 * time.Second
	// reservedFiles is the number of file descriptors kept for connections to
	// databases, the store and other instances, and for files. 24 databases with
	// 8 connections each take 192.
	reservedFiles = 500
	// pathMetrics is the route of the metrics endpoint.
	pathMetrics = "GET /metrics"
)

// run serves until stop is cancelled and the graceful shutdown has finished.
func run(stop context.Context, path string, raw []byte, s platform.Settings, level string, hangups <-chan os.Signal, out io.Writer) error {
	lines := asynclog.NewWriter(out)
	defer lines.Close()
	log, err := telemetry.NewLogger(lines, s.Instance, level)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(s.MemoryMB) << 20 * memoryShare / 100)
	log.Info().Str("part", "main").Str("version", version.String()).Interface("settings", s).Msg("Starting.")

	store := platform.NewStore(s.Store)
	store.Log = log.With().Str("part", "store").Logger()
	promoter := platform.NewPromotionClient(s.Promotions)
	go watchSettings(stop, path, raw, log, hangups, store, promoter)

	listeners, err := listen(s)
	if err != nil {
		return err
	}
	instance := platformd.New(platformd.Config{
		Instance: s.Instance, DataCentre: s.DataCentre, Address: s.ListenInner, Source: store, Store: store, Promotions: promoter,
		Dial: func(ctx context.Context, address, service, id, organisation string) (dbpool.Conn, error) {
			return platform.DialDatabase(ctx, address, service, id, organisation, s.Instance)
		},
		NewCallerConn:      func(c net.Conn) proxy.CallerConn { return platform.NewCallerConn(c) },
		Log:                log,
		MaxSessions:        max(1, s.MaxOpenFiles-reservedFiles),
		GracePeriod:        time.Duration(s.GracePeriod),
		DrainTime:          time.Duration(s.DrainTime),
		OrganisationLimits: limitWindow(s.OrganisationLimits),
		AdaptivePace:       s.HasAdaptivePace(),
		Regions:            regions(s),
	})
	return instance.Run(stop, listeners, platform.ReadinessHandler(instance.Ready), innerHandler(instance, store, log))
}

// limitWindow returns the rule that the limits of organisations must keep, or nil if they
// have none.
func limitWindow(l *platform.OrganisationLimits) *quota.Window {
	if l == nil {
		return nil
	}
	return &quota.Window{Length: time.Duration(l.Window), Overage: l.Overage, Slack: l.Slack}
}

// regions returns the regions of the data centres, or nil if there are not several.
func regions(s platform.Settings) map[string]string {
	if !s.HasRegions() {
		return nil
	}
	return s.Regions
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
			log.Warn().Err(err).Msg("Writing the metrics failed.")
			return
		}
		store.Calls.WriteText(w)
	})
	return mux
}

// watchSettings reloads the settings file when it changes or on SIGHUP. Only the
// addresses of the store and of the promotion API take effect. An invalid file is
// ignored.
func watchSettings(ctx context.Context, path string, lastRead []byte, log zerolog.Logger, hangups <-chan os.Signal, store *platform.Store, promoter *platform.PromotionClient) {
	log = log.With().Str("part", "settings").Logger()
	t := time.NewTicker(settingsPeriod)
	defer t.Stop()
	for {
		signalled := false
		select {
		case <-hangups:
			signalled = true
		case <-t.C:
		case <-ctx.Done():
			return // SIGHUP stays caught, so it does not end the process during its shutdown
		}
		data, err := os.ReadFile(path)
		if err != nil {
			log.Warn().Err(err).Msg("Reading the settings failed; keeping the current settings.")
			continue
		}
		if bytes.Equal(data, lastRead) {
			if signalled {
				log.Info().Msg("Settings reloaded without changes.")
			}
			continue
		}
		lastRead = data
		s, err := platform.ParseSettings(data)
		if err != nil {
			log.Warn().Err(err).Msg("The new settings are invalid; keeping the current settings.")
			continue
		}
		store.SetAddress(s.Store)
		promoter.SetAddress(s.Promotions)
		log.Info().Interface("settings", s).Msg("Settings reloaded; new settings applied.")
	}
}
