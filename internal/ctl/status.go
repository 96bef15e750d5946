package ctl

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"geraniumbeam/internal/result"
	"geraniumbeam/internal/wire"
)

// Status prints the fleet at a glance and names the instances that did not
// answer.
func (e *Env) Status(ctx context.Context) error {
	ts, err := e.targets(ctx)
	if err != nil {
		return err
	}
	answers := askAll(ctx, e, ts, func(ctx context.Context, a wire.Admin) (*wire.StatusResponse, error) {
		return a.Status(ctx, &wire.StatusRequest{})
	})
	w := tabwriter.NewWriter(e.Out, 0, 4, 2, ' ', 0)
	_, _ = w.Write([]byte("INSTANCE\tDATA CENTRE\tSTATE\tCONFIGURATION\tCALLERS\tMEMBERS\tDATABASES OWNED\n"))
	var silent []string
	var lowest uint64
	var answered []*wire.StatusResponse
	for _, a := range answers {
		if a.err != nil {
			silent = append(silent, a.target.name)
			continue
		}
		s := a.value
		if len(answered) == 0 || s.GetCatalogVersion() < lowest {
			lowest = s.GetCatalogVersion()
		}
		answered = append(answered, s)
		tabf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%s\n", s.GetInstance(), s.GetDataCentre(), s.GetState(),
			s.GetCatalogVersion(), s.GetCallers(), aliveMembers(s), databaseNames(s))
	}
	_ = w.Flush()
	e.printf("\nLowest configuration version in force: %d\n", lowest)
	e.printGroups(answered)
	for _, n := range silent {
		e.printf("No answer from %s.\n", n)
	}
	return unreachable(silent)
}

func tabf(w *tabwriter.Writer, format string, args ...any) {
	(&Env{Out: w}).printf(format, args...)
}

func aliveMembers(s *wire.StatusResponse) int {
	n := 0
	for _, m := range s.GetMembers() {
		if m.GetState() == wire.MemberState_MEMBER_STATE_ALIVE {
			n++
		}
	}
	return n
}

func databaseNames(s *wire.StatusResponse) string {
	var names []string
	for _, d := range s.GetDatabases() {
		n := d.GetDatabase()
		if !d.GetReachable() {
			n += " (unreachable)"
		}
		names = append(names, n)
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

// printGroups prints the highest term that any instance knows of each group.
func (e *Env) printGroups(answers []*wire.StatusResponse) {
	best := make(map[string]*wire.GroupHint)
	for _, s := range answers {
		for _, g := range s.GetGroups() {
			if b := best[g.GetGroup()]; b == nil || g.GetTerm() > b.GetTerm() {
				best[g.GetGroup()] = g
			}
		}
	}
	var names []string
	for n := range best {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, n := range names {
		primary := best[n].GetPrimary()
		if primary == "" {
			primary = "none known"
		}
		e.printf("Group %s: term %d, primary %s.\n", n, best[n].GetTerm(), primary)
	}
}

// Explain prints what happened to a request, from all instances that answer.
func (e *Env) Explain(ctx context.Context, request string) error {
	return e.history(ctx, &wire.EventsRequest{RequestId: request}, "request "+request)
}

// Timeline prints the recorded decisions about a group.
func (e *Env) Timeline(ctx context.Context, group string, limit int) error {
	return e.history(ctx, &wire.EventsRequest{Group: group, Limit: uint32(limit)}, "group "+group)
}

func (e *Env) history(ctx context.Context, req *wire.EventsRequest, subject string) error {
	ts, err := e.targets(ctx)
	if err != nil {
		return err
	}
	var all []*wire.Event
	var silent []string
	for _, a := range askAll(ctx, e, ts, func(ctx context.Context, c wire.Admin) (*wire.EventsResponse, error) {
		return c.Events(ctx, req)
	}) {
		if a.err != nil {
			silent = append(silent, a.target.name)
			continue
		}
		all = append(all, a.value.GetEvents()...)
	}
	slices.SortStableFunc(all, func(a, b *wire.Event) int { return cmp.Compare(a.GetTimeUnixMicro(), b.GetTimeUnixMicro()) })
	for _, ev := range all {
		e.printf("%s  %s\n", time.UnixMicro(ev.GetTimeUnixMicro()).UTC().Format("15:04:05.000"), sentence(ev))
	}
	if len(all) == 0 {
		e.printf("Nothing is recorded about %s.\n", subject)
	}
	for _, n := range silent {
		e.printf("No answer from %s; its part may be missing.\n", n)
	}
	return unreachable(silent)
}

// sentence joins an event's fields to one line.
func sentence(ev *wire.Event) string {
	var b strings.Builder
	b.WriteString("On " + ev.GetInstance())
	for _, f := range []struct{ label, value string }{
		{"group", ev.GetGroup()}, {"database", ev.GetDatabase()}, {"class", ev.GetClass()},
	} {
		if f.value != "" {
			b.WriteString(", " + f.label + " " + f.value)
		}
	}
	b.WriteString(": " + strings.TrimSuffix(ev.GetText(), ".") + " (" + ev.GetKind())
	if ev.GetCode() != 0 {
		c := result.Code(ev.GetCode())
		b.WriteString(", " + c.String() + ", run: " + result.Lookup(c).Ran.String())
	}
	b.WriteString(").")
	return b.String()
}

// Drain starts a graceful shutdown of the instance at address.
func (e *Env) Drain(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := e.Clients.Admin(address).Drain(ctx, &wire.DrainRequest{}); err != nil {
		return unreachable([]string{address})
	}
	e.printf("Instance at %s is draining.\n", address)
	return nil
}
