package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"geraniumbeam/internal/platform"
)

// maxWatchWait is the longest time that a watch waits for a change.
const maxWatchWait = time.Minute

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	c := &s.counters
	object := platform.PathObjects + "{kind}/{name}"
	mux.HandleFunc("GET "+object, s.handleAPI(&c.reads, s.readLimiter, s.getObject))
	mux.HandleFunc("PUT "+object, s.handleAPI(&c.writes, s.writeLimiter, s.putObject))
	mux.HandleFunc("DELETE "+object, s.handleAPI(&c.writes, s.writeLimiter, s.deleteObject))
	list, watch := s.handleAPI(&c.reads, s.readLimiter, s.listObjects), s.handleAPI(&c.watches, s.readLimiter, s.watchObjects)
	mux.HandleFunc("GET "+platform.PathObjects+"{kind}", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has(platform.ParamAfter) {
			watch(w, r)
			return
		}
		list(w, r)
	})
	mux.HandleFunc("GET "+platform.PathInstances, s.handleAPI(&c.instances, s.readLimiter, s.listInstances))
	mux.HandleFunc("POST "+platform.PathHeartbeat, s.handleAPI(&c.heartbeats, s.writeLimiter, s.heartbeat))
	s.adminRoutes(mux)
	return mux
}

// handleAPI wraps next: it counts and rate-limits calls and applies the faults
// that affect every call.
func (s *Server) handleAPI(count *atomic.Int64, limit *rate.Limiter, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		count.Add(1)
		s.store.setEra(w)
		if s.faults.inOutage() {
			s.abortConnection()
		}
		if !limit.Allow() {
			s.counters.limited.Add(1)
			writeError(w, http.StatusTooManyRequests, "rate limit of the platform exceeded; retry later", nil)
			return
		}
		if f, _ := s.faults.get(); f.Latency > 0 {
			select {
			case <-time.After(f.Latency.Std()):
			case <-r.Context().Done():
				return
			case <-s.closing:
				return
			}
		}
		next(w, r)
	}
}

// abortConnection closes the connection without a response. It does not return.
func (s *Server) abortConnection() {
	s.counters.faulted.Add(1)
	panic(http.ErrAbortHandler)
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	kind, name := r.PathValue("kind"), r.PathValue("name")
	o, ok := s.store.get(kind, name, s.faults.readAge())
	if !ok {
		writeError(w, http.StatusNotFound, fmt.Sprintf("object %s/%s does not exist", kind, name), nil)
		return
	}
	writeJSON(w, o)
}

func (s *Server) listObjects(w http.ResponseWriter, r *http.Request) {
	objects, version := s.store.list(r.PathValue("kind"), s.faults.readAge())
	writeJSON(w, platform.ObjectList{Objects: objects, Version: version})
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platform.MaxValue))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		writeError(w, http.StatusRequestEntityTooLarge, fmt.Sprintf("value of the object exceeds %d bytes", platform.MaxValue), nil)
		return
	case err != nil:
		return
	case !json.Valid(data):
		writeError(w, http.StatusBadRequest, "value of the object is not valid JSON", nil)
		return
	}
	s.change(w, r, data, false)
}

func (s *Server) deleteObject(w http.ResponseWriter, r *http.Request) { s.change(w, r, nil, true) }

func (s *Server) change(w http.ResponseWriter, r *http.Request, data []byte, deleted bool) {
	version, err := parseVersion(r.URL.Query().Get(platform.ParamVersion))
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error(), nil)
		return
	}
	kind, name := r.PathValue("kind"), r.PathValue("name")
	o, ok := s.store.put(kind, name, version, data, deleted)
	if f, _ := s.faults.get(); f.LostPuts > 0 && s.faults.randomHit(f.LostPuts) {
		s.abortConnection()
	}
	if !ok {
		writeError(w, http.StatusConflict, fmt.Sprintf("version conflict: object %s/%s has version %d", kind, name, currentVersion(o)), &o)
		return
	}
	writeJSON(w, o)
}

func (s *Server) watchObjects(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err1 := strconv.ParseUint(q.Get(platform.ParamAfter), 10, 64)
	waitMs, err2 := strconv.ParseInt(q.Get(platform.ParamWait), 10, 64)
	if err := errors.Join(err1, err2); err != nil {
		writeError(w, http.StatusBadRequest, err.Error(), nil)
		return
	}
	wait := min(max(0, time.Duration(waitMs)*time.Millisecond), maxWatchWait)
	timeout := time.After(wait)
	era := w.Header().Get(eraHeader)
	for {
		if s.faults.inOutage() {
			s.abortConnection()
		}
		_, faults := s.faults.get()
		if s.store.lacks(after) {
			writeError(w, http.StatusGone, fmt.Sprintf("the platform has no version %d", after), nil)
			return
		}
		objects, version, changed := s.store.changedSince(r.PathValue("kind"), after)
		if s.store.setEra(w); w.Header().Get(eraHeader) != era {
			s.abortConnection() // restored while it waited
		}
		if len(objects) > 0 {
			writeJSON(w, platform.ObjectList{Objects: objects, Version: version})
			return
		}
		select {
		case <-changed:
		case <-faults:
		case <-timeout:
			writeJSON(w, platform.ObjectList{Version: version})
			return
		case <-r.Context().Done():
			return
		case <-s.closing:
			return
		}
	}
}

func (s *Server) listInstances(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, platform.InstanceList{Instances: s.instances.list()})
}

func (s *Server) heartbeat(w http.ResponseWriter, r *http.Request) {
	var in platform.Instance
	if !decodeBody(w, r, &in) {
		return
	}
	s.instances.set(in, true, s.cfg.Now())
	writeJSON(w, struct{}{})
}

func parseVersion(text string) (uint64, error) {
	if text == platform.AnyVersionText {
		return platform.AnyVersion, nil
	}
	v, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("parse parameter %s: got %q, want a number or %s", platform.ParamVersion, text, platform.AnyVersionText)
	}
	return v, nil
}

func decodeBody(w http.ResponseWriter, r *http.Request, out any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, platform.MaxValue))
	dec.DisallowUnknownFields()
	if err := dec.Decode(out); err != nil {
		writeError(w, http.StatusBadRequest, err.Error(), nil)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, status int, message string, current *platform.Object) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(platform.ErrorBody{Message: message, Current: current})
}
