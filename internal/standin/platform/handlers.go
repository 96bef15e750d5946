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

// maxWait bounds a watch.
const maxWait = time.Minute

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	c := &s.counters
	object := platform.PathObjects + "{kind}/{name}"
	mux.HandleFunc("GET "+object, s.api(&c.reads, s.reads, s.getObject))
	mux.HandleFunc("PUT "+object, s.api(&c.writes, s.writes, s.putObject))
	mux.HandleFunc("DELETE "+object, s.api(&c.writes, s.writes, s.deleteObject))
	list, watch := s.api(&c.reads, s.reads, s.listObjects), s.api(&c.watches, s.reads, s.watchObjects)
	mux.HandleFunc("GET "+platform.PathObjects+"{kind}", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has(platform.ParamAfter) {
			watch(w, r)
			return
		}
		list(w, r)
	})
	mux.HandleFunc("GET "+platform.PathInstances, s.api(&c.instances, s.reads, s.listInstances))
	mux.HandleFunc("POST "+platform.PathHeartbeat, s.api(&c.heartbeats, s.writes, s.heartbeat))
	s.adminRoutes(mux)
	return mux
}

// api counts and limits a call and applies the faults that hit every call.
func (s *Server) api(count *atomic.Int64, limit *rate.Limiter, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		count.Add(1)
		if s.faults.down() {
			s.drop()
		}
		if !limit.Allow() {
			s.counters.limited.Add(1)
			fail(w, http.StatusTooManyRequests, "more calls than the platform takes; retry later", nil)
			return
		}
		if f, _ := s.faults.get(); f.Latency > 0 {
			select {
			case <-time.After(f.Latency.Std()):
			case <-r.Context().Done():
				return
			case <-s.done:
				return
			}
		}
		next(w, r)
	}
}

// drop closes the connection without an answer.
func (s *Server) drop() {
	s.counters.faulted.Add(1)
	panic(http.ErrAbortHandler)
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	kind, name := r.PathValue("kind"), r.PathValue("name")
	o, ok := s.store.get(kind, name, s.faults.readAge())
	if !ok {
		fail(w, http.StatusNotFound, fmt.Sprintf("object %s/%s does not exist", kind, name), nil)
		return
	}
	reply(w, o)
}

func (s *Server) listObjects(w http.ResponseWriter, r *http.Request) {
	objects, version := s.store.list(r.PathValue("kind"), s.faults.readAge())
	reply(w, platform.ObjectList{Objects: objects, Version: version})
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platform.MaxValue))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		fail(w, http.StatusRequestEntityTooLarge, fmt.Sprintf("value is larger than %d bytes", platform.MaxValue), nil)
		return
	case err != nil:
		return
	case !json.Valid(data):
		fail(w, http.StatusBadRequest, "value is not JSON", nil)
		return
	}
	s.change(w, r, data, false)
}

func (s *Server) deleteObject(w http.ResponseWriter, r *http.Request) { s.change(w, r, nil, true) }

func (s *Server) change(w http.ResponseWriter, r *http.Request, data []byte, deleted bool) {
	version, err := parseVersion(r.URL.Query().Get(platform.ParamVersion))
	if err != nil {
		fail(w, http.StatusBadRequest, err.Error(), nil)
		return
	}
	kind, name := r.PathValue("kind"), r.PathValue("name")
	o, ok := s.store.put(kind, name, version, data, deleted)
	if f, _ := s.faults.get(); f.LostPuts > 0 && s.faults.chance(f.LostPuts) {
		s.drop()
	}
	if !ok {
		fail(w, http.StatusConflict, fmt.Sprintf("object %s/%s has version %d", kind, name, currentVersion(o)), &o)
		return
	}
	reply(w, o)
}

func (s *Server) watchObjects(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err1 := strconv.ParseUint(q.Get(platform.ParamAfter), 10, 64)
	waitMs, err2 := strconv.ParseInt(q.Get(platform.ParamWait), 10, 64)
	if err := errors.Join(err1, err2); err != nil {
		fail(w, http.StatusBadRequest, err.Error(), nil)
		return
	}
	wait := min(max(0, time.Duration(waitMs)*time.Millisecond), maxWait)
	timeout := time.After(wait)
	for {
		if s.faults.down() {
			s.drop()
		}
		_, faults := s.faults.get()
		objects, version, changed := s.store.since(r.PathValue("kind"), after)
		if len(objects) > 0 {
			reply(w, platform.ObjectList{Objects: objects, Version: version})
			return
		}
		select {
		case <-changed:
		case <-faults:
		case <-timeout:
			reply(w, platform.ObjectList{Version: version})
			return
		case <-r.Context().Done():
			return
		case <-s.done:
			return
		}
	}
}

func (s *Server) listInstances(w http.ResponseWriter, _ *http.Request) {
	reply(w, platform.InstanceList{Instances: s.instances.view()})
}

func (s *Server) heartbeat(w http.ResponseWriter, r *http.Request) {
	var in platform.Instance
	if !decode(w, r, &in) {
		return
	}
	s.instances.set(in, true, s.cfg.Now())
	reply(w, struct{}{})
}

func parseVersion(text string) (uint64, error) {
	if text == platform.AnyVersionText {
		return platform.AnyVersion, nil
	}
	v, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("parameter %s has value %q: want a number or %s", platform.ParamVersion, text, platform.AnyVersionText)
	}
	return v, nil
}

func decode(w http.ResponseWriter, r *http.Request, out any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, platform.MaxValue))
	dec.DisallowUnknownFields()
	if err := dec.Decode(out); err != nil {
		fail(w, http.StatusBadRequest, err.Error(), nil)
		return false
	}
	return true
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func fail(w http.ResponseWriter, status int, message string, current *platform.Object) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(platform.ErrorBody{Message: message, Current: current})
}
