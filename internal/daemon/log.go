package daemon

import (
	"github.com/rs/zerolog"

	"geraniumbeam/internal/events"
	"geraniumbeam/internal/telemetry"
)

// eventLogger returns a function that writes events to the log. All but ownership
// and drain events are logged at level debug, because they are frequent, such as
// those of requests and configuration, or are also logged by their own part.
func eventLogger(log zerolog.Logger) func(events.Event) {
	return func(e events.Event) {
		line := log.Debug()
		if e.Kind == events.KindOwnership || e.Kind == events.KindDrain {
			line = log.Info() // rare, and not logged elsewhere
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
