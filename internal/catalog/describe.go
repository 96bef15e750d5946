package catalog

import (
	"fmt"
	"strings"
	"time"
)

var rankSentences = map[Rank]string{
	RankUrgent:     "It is served before all other work when databases are overloaded.",
	RankNormal:     "It is served after urgent work and keeps a guaranteed share when urgent work overloads the databases.",
	RankBackground: "It is served after urgent and normal work and keeps a small guaranteed share.",
}

// Describe returns a description, in sentences, of how requests of a class are
// handled.
func Describe(c Class) string {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line("Class %s of service %s has rank %s.", c.Name, c.Service, c.Rank)
	if c.Description != "" {
		line("%s", strings.TrimSpace(c.Description))
	}
	line("%s", rankSentences[c.Rank])
	line("%g %% of its requests are to be answered within %v. A request that cannot be answered in time is refused at once, was not run, and may be sent again later.",
		c.EffectiveObjective()*100, c.LatencyTarget)
	line("%s", describeReads(c.Reads))
	line("%s", describeRepeat(c))
	return b.String()
}

func describeReads(r ReadPolicy) string {
	if r.MaxAge == 0 {
		return "A read sees the session's own writes. It may be answered by a replica that holds them."
	}
	s := fmt.Sprintf("A read sees the session's own writes and data at most %v old. ", r.MaxAge)
	if r.WhenStale == WhenStaleMark {
		return s + "When the age cannot be proved, the read is answered and marked stale."
	}
	return s + "When the age cannot be proved, the read is refused."
}

func describeRepeat(c Class) string {
	if c.Repeatable {
		return "Its requests may be run again when an outcome is unknown."
	}
	life := c.KeyLifetime.Std()
	if life == 0 {
		life = DefaultKeyLifetime
	}
	return fmt.Sprintf("A request is never run again by the system once it was sent to a database. A caller that repeats it with the same request key within %v gets the first outcome.",
		Duration(life.Round(time.Second)))
}
