package platform

import (
	"fmt"
	"net/http"

	"geraniumbeam/internal/catalog"
	"geraniumbeam/internal/platform"
)

// Paths of the administration API. Its calls are not counted, rate-limited or
// affected by faults.
const (
	PathFaults         = "/admin/faults"     // GET and PUT: Faults
	PathAdminInstances = "/admin/instances/" // PUT and DELETE, followed by the instance's name
	PathCounts         = "/admin/counts"     // GET: Counts
)

func (s *Server) adminRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET "+PathFaults, func(w http.ResponseWriter, _ *http.Request) {
		f, _ := s.faults.get()
		writeJSON(w, f)
	})
	mux.HandleFunc("PUT "+PathFaults, func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if !decodeBody(w, r, &f) {
			return
		}
		if err := catalog.Validate(f); err != nil {
			writeError(w, http.StatusBadRequest, err.Error(), nil)
			return
		}
		s.SetFaults(f)
		writeJSON(w, f)
	})
	mux.HandleFunc("PUT "+PathAdminInstances+"{name}", func(w http.ResponseWriter, r *http.Request) {
		var in platform.Instance
		if !decodeBody(w, r, &in) {
			return
		}
		in.Name = r.PathValue("name")
		s.SetInstance(in)
		writeJSON(w, in)
	})
	mux.HandleFunc("DELETE "+PathAdminInstances+"{name}", func(w http.ResponseWriter, r *http.Request) {
		name := r.PathValue("name")
		if !s.RemoveInstance(name) {
			writeError(w, http.StatusNotFound, fmt.Sprintf("instance %q is not listed", name), nil)
			return
		}
		writeJSON(w, struct{}{})
	})
	mux.HandleFunc("GET "+PathCounts, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Counts()) })
}
