package ctl

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"

	"geraniumbeam/internal/wire"
)

// Status prints a summary of all instances and groups, and the names of the
// instances that did not answer.
func (e *Env) Status(ctx context.Context) error {
	ts, err := e.targets(ctx)
	if err != nil {
		return err
	}
	answers := callAll(ctx, e, ts, func(ctx context.Context, a wire.Admin) (*wire.StatusResponse, error) {
		return a.Status(ctx, &wire.StatusRequest{})
	})
	w := tabwriter.NewWriter(e.Out, 0, 4, 2, ' ', 0)
	_, _ = w.Write([]byte("INSTANCE\tDATA CENTRE\tSTATE\tCONFIGURATION\tCALLERS\tMEMBERS\tDATABASES OWNED\n"))
	var unreachable []string
	var lowest uint64
	var answered []*wire.StatusResponse
	for _, a := range answers {
		if a.err != nil {
			unreachable = append(unreachable, a.target.name)
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
	for _, n := range unreachable {
		e.printf("No answer from %s.\n", n)
	}
	return unreachableError(unreachable)
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

// printGroups prints the highest term of each group that any instance knows, and
// the primary at that term.
func (e *Env) printGroups(answers []*wire.StatusResponse) {
	newest := make(map[string]*wire.GroupHint)
	for _, s := range answers {
		for _, g := range s.GetGroups() {
			if b := newest[g.GetGroup()]; b == nil || g.GetTerm() > b.GetTerm() {
				newest[g.GetGroup()] = g
			}
		}
	}
	var names []string
	for n := range newest {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, n := range names {
		primary := newest[n].GetPrimary()
		if primary == "" {
			primary = "none known"
		}
		e.printf("Group %s: term %d, primary %s.\n", n, newest[n].GetTerm(), primary)
	}
}

// printInvalid prints the platform's objects that instances reject. An unavailable
// platform is reported and is no error, so that status works without it.
func (e *Env) printInvalid(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	stored, err := e.storedObjects(ctx)
	if err != nil {
		e.printf("The platform does not answer: %v.\n", err)
		return
	}
	for _, s := range stored.invalid() {
		e.printf("Not in force, instances keep the version before: %s.\n", s)
	}
}

// Drain starts a graceful shutdown of the instance at address.
func (e *Env) Drain(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := e.Clients.Admin(address).Drain(ctx, &wire.DrainRequest{}); err != nil {
		return unreachableError([]string{address})
	}
	e.printf("Instance at %s is draining.\n", address)
	return nil
}
