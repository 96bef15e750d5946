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

// Explain prints what happened to a request, joined from all instances that
// answer, and what its caller may do.
func (e *Env) Explain(ctx context.Context, request string) error {
	found, silent, err := e.history(ctx, &wire.EventsRequest{RequestId: request})
	if err != nil {
		return err
	}
	if len(found) == 0 {
		e.printf("Nothing is recorded about request %s. A request that was answered at its first attempt leaves no record, and old records are dropped.\n", request)
	} else {
		e.printEvents(found)
		e.printf("%s\n", conclusion(found))
	}
	e.printSilent(silent)
	return unreachable(silent)
}

// Timeline prints the recorded decisions about a group, such as a change of
// primary with the time of each phase.
func (e *Env) Timeline(ctx context.Context, group string, limit int) error {
	found, silent, err := e.history(ctx, &wire.EventsRequest{Group: group, Limit: uint32(limit)})
	if err != nil {
		return err
	}
	if len(found) == 0 {
		e.printf("Nothing is recorded about group %s.\n", group)
	}
	e.printEvents(found)
	e.printSilent(silent)
	return unreachable(silent)
}

// history returns the matching events of all instances in the order of their
// clocks, and the instances that did not answer.
func (e *Env) history(ctx context.Context, req *wire.EventsRequest) (found []*wire.Event, silent []string, err error) {
	ts, err := e.targets(ctx)
	if err != nil {
		return nil, nil, err
	}
	for _, a := range askAll(ctx, e, ts, func(ctx context.Context, c wire.Admin) (*wire.EventsResponse, error) {
		return c.Events(ctx, req)
	}) {
		if a.err != nil {
			silent = append(silent, a.target.name)
			continue
		}
		found = append(found, a.value.GetEvents()...)
	}
	slices.SortStableFunc(found, func(a, b *wire.Event) int { return cmp.Compare(a.GetTimeUnixMicro(), b.GetTimeUnixMicro()) })
	return found, silent, nil
}

func (e *Env) printSilent(names []string) {
	for _, n := range names {
		e.printf("No answer from %s; its part may be missing.\n", n)
	}
}

func (e *Env) printEvents(list []*wire.Event) {
	for _, ev := range list {
		at := time.UnixMicro(ev.GetTimeUnixMicro()).UTC()
		since := at.Sub(time.UnixMicro(list[0].GetTimeUnixMicro()))
		e.printf("%s  +%.3fs  %s\n", at.Format("2006-01-02 15:04:05.000"), since.Seconds(), sentence(ev))
	}
}

// headings say what kind of decision an event is.
var headings = map[events.Kind]string{
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

// sentence describes an event in one line.
func sentence(ev *wire.Event) string {
	heading, ok := headings[events.Kind(ev.GetKind())]
	if !ok {
		heading = ev.GetKind()
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s: %s.", ev.GetInstance(), heading, strings.TrimSuffix(ev.GetText(), "."))
	if ev.GetCode() != 0 {
		info := result.Lookup(result.Code(ev.GetCode()))
		fmt.Fprintf(&b, " (%s %s: %s)", info.Code, info.Name, info.Meaning)
	}
	var where []string
	for _, f := range []struct{ label, value string }{
		{"group", ev.GetGroup()}, {"database", ev.GetDatabase()}, {"class", ev.GetClass()},
	} {
		if f.value != "" {
			where = append(where, f.label+" "+f.value)
		}
	}
	if len(where) > 0 {
		b.WriteString(" [" + strings.Join(where, ", ") + "]")
	}
	return b.String()
}

// conclusion tells how a request ended, from its last event.
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
