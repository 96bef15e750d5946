// Package telemetry sets up logging and serves metrics and health endpoints.
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

// Parts of the program, logged in the field "part" of each line.
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

// NewLogger returns a logger that writes JSON lines to w. level is debug, info, warn
// or error.
func NewLogger(w io.Writer, instance, level string) (zerolog.Logger, error) {
	setTimeFormat()
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), fmt.Errorf("parse log level %q: %w", level, err)
	}
	return zerolog.New(w).Level(l).With().Timestamp().Str("instance", instance).Logger(), nil
}

// timeFormat has milliseconds, so that the lines of several instances can be merged
// in order.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// setTimeFormat sets zerolog's global format once.
var setTimeFormat = sync.OnceFunc(func() { zerolog.TimeFieldFormat = timeFormat })

// PartLogger returns l with the field "part".
func PartLogger(l zerolog.Logger, part string) zerolog.Logger {
	return l.With().Str("part", part).Logger()
}

// Server serves /debug/vars, /healthz and /readyz. It serves its own expvar map
// instead of the global one, because several instances in one process would use
// the same names there.
type Server struct {
	http           *http.Server
	notReadyReason atomic.Pointer[string] // nil if ready
}

// NewServer returns a server for vars that is not ready.
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

// SetReady makes /readyz report that callers may connect.
func (s *Server) SetReady() { s.notReadyReason.Store(nil) }

// SetNotReady makes /readyz report that callers should use another instance, with
// the reason.
func (s *Server) SetNotReady(reason string) { s.notReadyReason.Store(&reason) }

// Serve accepts connections until Close.
func (s *Server) Serve(l net.Listener) { _ = s.http.Serve(l) }

// Close stops the server.
func (s *Server) Close(ctx context.Context) { _ = s.http.Shutdown(ctx) }

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if reason := s.notReadyReason.Load(); reason != nil {
		http.Error(w, "not ready: "+*reason, http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ok")
}
