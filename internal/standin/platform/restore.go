package platform

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
)

// eraHeader is the header of all responses that counts the restores.
const eraHeader = "Store-Era"

// Backup is a copy of the objects.
type Backup struct {
	version uint64
	objects map[objectKey][]revision
}

// Backup returns a copy of the present objects.
func (s *Server) Backup() Backup {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	return Backup{s.store.version, cloneObjects(s.store.objects)}
}

// Restore replaces the objects with those of a backup and raises the era. Versions
// continue from that of the backup, so they are given out again.
func (s *Server) Restore(b Backup) {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	s.store.era++
	s.store.version, s.store.objects = b.version, cloneObjects(b.objects)
	close(s.store.changed)
	s.store.changed = make(chan struct{})
}

func cloneObjects(objects map[objectKey][]revision) map[objectKey][]revision {
	out := maps.Clone(objects)
	for k, revisions := range out {
		out[k] = slices.Clone(revisions)
	}
	return out
}

// setEra writes the era into the header of a response.
func (s *store) setEra(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set(eraHeader, strconv.FormatUint(s.era, 10))
}

// lacks reports whether a version has not been given out yet.
func (s *store) lacks(version uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return version > s.version
}
