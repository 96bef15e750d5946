package daemon

import (
	"github.com/rs/zerolog"

	"geraniumbeam/internal/events"
	"geraniumbeam/internal/telemetry"
)

// eventLogger writes events to the log. Events of requests and of configuration
// are frequent and appear at level debug only.
func eventLogger(log zerolog.Logger) func(events.Event) {
	return func(e events.Event) {
		line := log.Debug()
		if e.Kind == events.KindOwnership || e.Kind == events.KindDrain {
			line = log.Info() // rare, and no part logs them itself
		}
		line = line.Str("part", telemetry.PartEvents).Str("event", string(e.Kind))
		for _, f := range []struct{ name, value string }{
			{"request", e.Request}, {"group", e.Group}, {"database", e.Database}, {"class", e.Class},
		} {
			if f.value != "" {
				line = line.Str(f.name, f.value)
			}
		}
		if e.Code != 0 {
			line = line.Stringer("code", e.Code)
		}
		line.Msg(e.Text)
	}
}
