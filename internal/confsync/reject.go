package confsync

import (
	"geraniumbeam/internal/events"
	"geraniumbeam/internal/result"
)

// maxRejections bounds the memory of rejected objects that were reported.
const maxRejections = 1000

// reportRejected logs and records each rejected version of an object once,
// because peers and relays offer it again.
func (s *Syncer) reportRejected(err error, source string) {
	for _, e := range flatten(err) {
		s.vars.Add("rejected", 1)
		text := e.Error()
		s.mu.Lock()
		if len(s.rejected) >= maxRejections {
			clear(s.rejected)
		}
		_, known := s.rejected[text]
		s.rejected[text] = struct{}{}
		s.mu.Unlock()
		if known {
			continue
		}
		s.log.Warn().Err(e).Str("source", source).Msg("Object rejected; the version before stays in force.")
		s.record(events.Event{Code: result.Invalid, Text: "rejected " + text + "; the version before stays in force"})
	}
}

// flatten returns the errors that were joined in err.
func flatten(err error) []error {
	joined, ok := err.(interface{ Unwrap() []error })
	if !ok {
		return []error{err}
	}
	var out []error
	for _, e := range joined.Unwrap() {
		out = append(out, flatten(e)...)
	}
	return out
}
