package confsync

import (
	"geraniumbeam/internal/events"
	"geraniumbeam/internal/result"
)

// maxReportedRejections limits the number of rejections remembered as reported.
const maxReportedRejections = 1000

// reportRejected logs and records each rejected version of an object only once,
// because peers and relays send it repeatedly.
func (s *Syncer) reportRejected(err error, source string) {
	for _, e := range flattenErrors(err) {
		s.vars.Add("rejected", 1)
		text := e.Error()
		s.mu.Lock()
		if len(s.reportedRejections) >= maxReportedRejections {
			clear(s.reportedRejections)
		}
		_, known := s.reportedRejections[text]
		s.reportedRejections[text] = struct{}{}
		s.mu.Unlock()
		if known {
			continue
		}
		s.log.Warn().Err(e).Str("source", source).Msg("Object rejected; the previous version stays in force.")
		s.recordEvent(events.Event{Code: result.Invalid, Text: "rejected " + text + "; the previous version stays in force"})
	}
}

// flattenErrors returns the errors joined in err.
func flattenErrors(err error) []error {
	joined, ok := err.(interface{ Unwrap() []error })
	if !ok {
		return []error{err}
	}
	var out []error
	for _, e := range joined.Unwrap() {
		out = append(out, flattenErrors(e)...)
	}
	return out
}
