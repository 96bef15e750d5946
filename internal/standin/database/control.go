package database

import (
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"geraniumbeam/internal/backend"
)

func loadDuration(v *atomic.Int64) time.Duration { return time.Duration(v.Load()) }

func (s *Server) isPrimary() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.role == backend.RolePrimary
}

// setting is a value that standin_set changes and standin_get reads. A read-only
// setting has no set function.
type setting struct {
	set func(s *Server, v int64)
	get func(s *Server) int64
}

func durationSetting(field func(*Server) *atomic.Int64, unit time.Duration) setting {
	return setting{
		set: func(s *Server, v int64) { field(s).Store(v * int64(unit)) },
		get: func(s *Server) int64 { return field(s).Load() / int64(unit) },
	}
}

// lockedSetting returns a setting whose functions run with s.mu held.
func lockedSetting(set func(*Server, int64), get func(*Server) int64) setting {
	return setting{
		set: func(s *Server, v int64) {
			s.mu.Lock()
			defer s.mu.Unlock()
			set(s, v)
			s.notifyLocked()
		},
		get: func(s *Server) int64 {
			s.mu.Lock()
			defer s.mu.Unlock()
			return get(s)
		},
	}
}

func boolToInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

var settings = map[string]setting{
	"apply_lag_ms":         durationSetting(func(s *Server) *atomic.Int64 { return &s.applyLag }, time.Millisecond),
	"replication_delay_us": durationSetting(func(s *Server) *atomic.Int64 { return &s.replicationDelay }, time.Microsecond),
	"service_time_us":      durationSetting(func(s *Server) *atomic.Int64 { return &s.serviceTime }, time.Microsecond),
	"connect_delay_us":     durationSetting(func(s *Server) *atomic.Int64 { return &s.connectDelay }, time.Microsecond),
	"lock_timeout_ms":      durationSetting(func(s *Server) *atomic.Int64 { return &s.writeLockTimeout }, time.Millisecond),
	"slots": {
		set: func(s *Server, v int64) { s.slots.setLimit(int(v)) },
		get: func(s *Server) int64 { s.slots.mu.Lock(); defer s.slots.mu.Unlock(); return int64(s.slots.limit) },
	},
	"connection_limit": {
		set: func(s *Server, v int64) { s.connectionLimit.Store(v) },
		get: func(s *Server) int64 { return s.connectionLimit.Load() },
	},
	"connections": { // open sessions; read-only
		get: func(s *Server) int64 { s.connMu.Lock(); defer s.connMu.Unlock(); return int64(len(s.sessions)) },
	},
	"statements": { // statements executed since the start; read-only
		get: func(s *Server) int64 { return s.statements.Load() },
	},
	"leaving":      lockedSetting(func(s *Server, v int64) { s.leaving = v != 0 }, func(s *Server) int64 { return boolToInt(s.leaving) }),
	"unsafe":       lockedSetting(func(s *Server, v int64) { s.unsafe = v != 0 }, func(s *Server) int64 { return boolToInt(s.unsafe) }),
	"fail_commits": lockedSetting(func(s *Server, v int64) { s.failCommits = v }, func(s *Server) int64 { return s.failCommits }),
}

func lookupSetting(name string) (setting, error) {
	if v, ok := settings[name]; ok {
		return v, nil
	}
	known := slices.Sorted(maps.Keys(settings))
	return setting{}, errorf(stateInvalidValue, "unknown setting %q, want one of %s", name, strings.Join(known, ", "))
}

// set changes a setting and returns its new value.
func (s *Server) set(name string, v int64) (int64, error) {
	st, err := lookupSetting(name)
	if err != nil {
		return 0, err
	}
	if st.set == nil {
		return 0, errorf(stateInvalidValue, "setting %q is read-only", name)
	}
	st.set(s, v)
	return st.get(s), nil
}

func (s *Server) get(name string) (int64, error) {
	st, err := lookupSetting(name)
	if err != nil {
		return 0, err
	}
	return st.get(s), nil
}
