// Package telemetry sets up logs, metrics and health endpoints.
package telemetry

import (
	"context"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// Parts of the program, written as the prefix of each log line.
const (
	PartDaemon     = "daemon"
	PartEntry      = "entry"
	PartPool       = "pool"
	PartFailover   = "failover"
	PartMembership = "membership"
	PartConfsync   = "confsync"
	PartPlatform   = "platform"
	PartStandin    = "standin"
	PartEvents     = "events"
)

// NewLogger returns a logger that writes lines of JSON to w. Level is one of
// debug, info, warn and error.
func NewLogger(w io.Writer, instance, level string) (zerolog.Logger, error) {
	setTimeFormat()
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), fmt.Errorf("log level %q: %w", level, err)
	}
	return zerolog.New(w).Level(l).With().Timestamp().Str("instance", instance).Logger(), nil
}

// timeFormat has milliseconds, so that lines of several instances can be joined.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// setTimeFormat sets zerolog's global format once.
var setTimeFormat = sync.OnceFunc(func() { zerolog.TimeFieldFormat = timeFormat })

// PartLogger returns l with the part's fixed prefix.
func PartLogger(l zerolog.Logger, part string) zerolog.Logger {
	return l.With().Str("part", part).Logger()
}

// Server serves /debug/vars, /healthz and /readyz. Metrics of several
// instances in one process must not share names, so vars are given to New
// instead of the global expvar registry.
type Server struct {
	http     *http.Server
	notReady atomic.Pointer[string] // why, or nil
}

// NewServer returns a server for vars.
func NewServer(vars *expvar.Map) *Server {
	s := &Server{}
	s.SetNotReady("starting")
	mux := http.NewServeMux()
	mux.HandleFunc("/debug/vars", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		fmt.Fprintln(w, vars.String())
	})
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("/readyz", s.serveReady)
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	return s
}

// SetReady makes /readyz answer that callers may connect.
func (s *Server) SetReady() { s.notReady.Store(nil) }

// SetNotReady makes /readyz answer that callers should go elsewhere, and why.
func (s *Server) SetNotReady(why string) { s.notReady.Store(&why) }

// Serve accepts connections until Close.
func (s *Server) Serve(l net.Listener) { _ = s.http.Serve(l) }

// Close stops the server.
func (s *Server) Close(ctx context.Context) { _ = s.http.Shutdown(ctx) }

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if why := s.notReady.Load(); why != nil {
		http.Error(w, "not ready: "+*why, http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ok")
}
