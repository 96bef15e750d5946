package ctl

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"

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
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%s\n", s.GetInstance(), s.GetDataCentre(), s.GetState(),
			s.GetCatalogVersion(), s.GetCallers(), aliveMembers(s), databaseNames(s))
	}
	_ = w.Flush()
	e.printf("\nLowest configuration version in force: %d\n", lowest)
	e.printGroups(answered)
	e.printInvalid(ctx)
	for _, n := range silent {
		e.printf("No answer from %s.\n", n)
	}
	return unreachable(silent)
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

// printInvalid names the platform's objects that instances refuse to apply. status
// goes on if the platform does not answer.
func (e *Env) printInvalid(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	held, err := e.held(ctx)
	if err != nil {
		e.printf("The platform does not answer: %v.\n", err)
		return
	}
	for _, s := range held.invalid() {
		e.printf("Not in force, instances keep the version before: %s.\n", s)
	}
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
