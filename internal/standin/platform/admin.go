package platform

import (
	"fmt"
	"net/http"

	"geraniumbeam/internal/catalog"
	"geraniumbeam/internal/platform"
)

// Administration paths. They are not counted, limited or hit by faults.
const (
	PathFaults         = "/admin/faults"     // GET, PUT a Faults value
	PathAdminInstances = "/admin/instances/" // PUT, DELETE by name
	PathCounts         = "/admin/counts"     // GET Counts
)

func (s *Server) adminRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET "+PathFaults, func(w http.ResponseWriter, _ *http.Request) {
		f, _ := s.faults.get()
		reply(w, f)
	})
	mux.HandleFunc("PUT "+PathFaults, func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if !decode(w, r, &f) {
			return
		}
		if err := catalog.Validate(f); err != nil {
			fail(w, http.StatusBadRequest, err.Error(), nil)
			return
		}
		s.SetFaults(f)
		reply(w, f)
	})
	mux.HandleFunc("PUT "+PathAdminInstances+"{name}", func(w http.ResponseWriter, r *http.Request) {
		var in platform.Instance
		if !decode(w, r, &in) {
			return
		}
		in.Name = r.PathValue("name")
		s.SetInstance(in)
		reply(w, in)
	})
	mux.HandleFunc("DELETE "+PathAdminInstances+"{name}", func(w http.ResponseWriter, r *http.Request) {
		name := r.PathValue("name")
		if !s.RemoveInstance(name) {
			fail(w, http.StatusNotFound, fmt.Sprintf("instance %q is not listed", name), nil)
			return
		}
		reply(w, struct{}{})
	})
	mux.HandleFunc("GET "+PathCounts, func(w http.ResponseWriter, _ *http.Request) { reply(w, s.Counts()) })
}
