package ctl

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"geraniumbeam/internal/events"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/wire"
)

// Explain prints the recorded events of a request from all reachable instances, and
// whether it is safe to send the request again.
func (e *Env) Explain(ctx context.Context, request string) error {
	found, unreachable, err := e.collectEvents(ctx, &wire.EventsRequest{RequestId: request})
	if err != nil {
		return err
	}
	if len(found) == 0 {
		e.printf("Nothing is recorded about request %s. A request that was answered at its first attempt leaves no record, and old records are dropped.\n", request)
	} else {
		e.printEvents(found)
		e.printf("%s\n", conclusion(found))
	}
	e.printUnreachable(unreachable)
	return unreachableError(unreachable)
}

// Timeline prints the recorded events of a group, such as a failover with the time
// of each phase.
func (e *Env) Timeline(ctx context.Context, group string, limit int) error {
	found, unreachable, err := e.collectEvents(ctx, &wire.EventsRequest{Group: group, Limit: uint32(limit)})
	if err != nil {
		return err
	}
	if len(found) == 0 {
		e.printf("Nothing is recorded about group %s.\n", group)
	}
	e.printEvents(found)
	e.printUnreachable(unreachable)
	return unreachableError(unreachable)
}

// collectEvents returns the matching events of all reachable instances, ordered by
// the instances' clocks, and the names of the unreachable instances.
func (e *Env) collectEvents(ctx context.Context, req *wire.EventsRequest) (found []*wire.Event, unreachable []string, err error) {
	ts, err := e.targets(ctx)
	if err != nil {
		return nil, nil, err
	}
	for _, a := range callAll(ctx, e, ts, func(ctx context.Context, c wire.Admin) (*wire.EventsResponse, error) {
		return c.Events(ctx, req)
	}) {
		if a.err != nil {
			unreachable = append(unreachable, a.target.name)
			continue
		}
		found = append(found, a.value.GetEvents()...)
	}
	slices.SortStableFunc(found, func(a, b *wire.Event) int { return cmp.Compare(a.GetTimeUnixMicro(), b.GetTimeUnixMicro()) })
	return found, unreachable, nil
}

func (e *Env) printUnreachable(names []string) {
	for _, n := range names {
		e.printf("No answer from %s; its part may be missing.\n", n)
	}
}

func (e *Env) printEvents(list []*wire.Event) {
	for _, ev := range list {
		at := time.UnixMicro(ev.GetTimeUnixMicro()).UTC()
		since := at.Sub(time.UnixMicro(list[0].GetTimeUnixMicro()))
		e.printf("%s  +%.3fs  %s\n", at.Format("2006-01-02 15:04:05.000"), since.Seconds(), formatEvent(ev))
	}
}

// kindTitles are the kinds of events as printed.
var kindTitles = map[events.Kind]string{
	events.KindPromotion:     "Change of primary",
	events.KindOwnership:     "Connections to a database",
	events.KindConfiguration: "Configuration",
	events.KindShed:          "Refused because of load",
	events.KindRetry:         "Tried again",
	events.KindStaleRead:     "Stale read",
	events.KindRefusal:       "Refused",
	events.KindUnknown:       "Outcome unknown",
	events.KindMembership:    "Members",
	events.KindDrain:         "Graceful shutdown",
}

// formatEvent formats an event as one line.
func formatEvent(ev *wire.Event) string {
	title, ok := kindTitles[events.Kind(ev.GetKind())]
	if !ok {
		title = ev.GetKind()
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s: %s.", ev.GetInstance(), title, strings.TrimSuffix(ev.GetText(), "."))
	if ev.GetCode() != 0 {
		info := result.Lookup(result.Code(ev.GetCode()))
		fmt.Fprintf(&b, " (%s %s: %s)", info.Code, info.Name, info.Meaning)
	}
	var labels []string
	for _, f := range []struct{ label, value string }{
		{"group", ev.GetGroup()}, {"database", ev.GetDatabase()}, {"class", ev.GetClass()},
	} {
		if f.value != "" {
			labels = append(labels, f.label+" "+f.value)
		}
	}
	if len(labels) > 0 {
		b.WriteString(" [" + strings.Join(labels, ", ") + "]")
	}
	return b.String()
}

// conclusion states how a request ended, derived from its last event.
func conclusion(list []*wire.Event) string {
	last := list[len(list)-1]
	info := result.Lookup(result.Code(last.GetCode()))
	switch events.Kind(last.GetKind()) {
	case events.KindStaleRead:
		return "Conclusion: the request was answered with data that may be older than its class promises."
	case events.KindRetry:
		return "Conclusion: the last attempt has no recorded failure, so the request was answered or is still running."
	case events.KindUnknown:
		return "Conclusion: it is not known whether the request was run. Look at the data before sending it again; with a request key it can be sent again safely."
	}
	if !info.Retryable {
		return "Conclusion: the request was not run. Sending it again unchanged will fail again."
	}
	return "Conclusion: the request was not run. Sending it again is safe and may succeed later."
}
