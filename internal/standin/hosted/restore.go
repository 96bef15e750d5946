package hosted

import (
	"maps"
	"net/http"
	"strconv"
)

// eraHeader is the header of all responses that counts the restores of the store.
const eraHeader = "Store-Era"

// foreignKinds are the kinds whose writers, the operator and the databases, write
// their objects again after a restore.
var foreignKinds = []string{"config", "servers"}

// Backup is a copy of the store's objects.
type Backup struct {
	revision uint64
	objects  map[string]map[string]Object
}

// Backup returns a copy of the present objects.
func (s *Store) Backup() Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Backup{s.revision, cloneObjects(s.objects)}
}

// Restore replaces the objects with those of a backup and raises the era. Revisions
// continue from that of the backup, so they are given out again. The history is
// lost. The operator and the databases write their objects again at once.
func (s *Store) Restore(b Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	former := s.objects
	s.era++
	s.revision, s.objects, s.history = b.revision, cloneObjects(b.objects), nil
	for _, kind := range foreignKinds {
		for name := range s.objects[kind] {
			if _, exists := former[kind][name]; !exists {
				s.remove(kind, name)
			}
		}
		for _, o := range former[kind] {
			s.put(kind, o)
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func cloneObjects(objects map[string]map[string]Object) map[string]map[string]Object {
	out := make(map[string]map[string]Object, len(objects))
	for kind, byName := range objects {
		out[kind] = maps.Clone(byName)
	}
	return out
}

// setEra writes the era into the header of a response.
func (s *Store) setEra(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set(eraHeader, strconv.FormatUint(s.era, 10))
}
