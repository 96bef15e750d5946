package ctl

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"geraniumbeam/internal/platform"
	"geraniumbeam/internal/wire"
)

// pollInterval is the interval at which waitInForce polls the instances.
const pollInterval = 100 * time.Millisecond

// waitInForce waits until every instance holds the stored objects or newer ones.
// After timeout it returns an error that names the instances that do not.
func (e *Env) waitInForce(ctx context.Context, stored []platform.Object, timeout time.Duration) error {
	ts, err := e.targets(ctx)
	if err != nil {
		return err
	}
	start := time.Now()
	for {
		outdated := e.outdatedInstances(ctx, ts, stored)
		if len(outdated) == 0 {
			e.printf("Version %d is in force on %d instances after %v.\n", highestVersion(stored), len(ts), time.Since(start).Round(time.Millisecond))
			return nil
		}
		if time.Since(start) >= timeout {
			return fmt.Errorf("%w: version %d is not in force on %s", ErrUnreachable, highestVersion(stored), strings.Join(outdated, ", "))
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
}

// outdatedInstances returns the instances that do not hold the stored objects, with
// the objects they lack. The catalog version of an instance is not enough, because a
// later change of another object can arrive first.
func (e *Env) outdatedInstances(ctx context.Context, ts []target, stored []platform.Object) []string {
	var outdated []string
	for _, a := range callAll(ctx, e, ts, func(ctx context.Context, c wire.Admin) (*wire.StatusResponse, error) {
		return c.Status(ctx, &wire.StatusRequest{})
	}) {
		if a.err != nil {
			outdated = append(outdated, a.target.name+" (no answer)")
			continue
		}
		if missing := missingObjects(a.value, stored); len(missing) > 0 {
			outdated = append(outdated, fmt.Sprintf("%s (%s)", a.target.name, strings.Join(missing, "; ")))
		}
	}
	slices.Sort(outdated)
	return outdated
}

func missingObjects(s *wire.StatusResponse, stored []platform.Object) []string {
	versions := make(map[string]uint64)
	for _, o := range s.GetObjects() {
		versions[o.GetKind()+" "+o.GetName()] = o.GetVersion()
	}
	var out []string
	for _, o := range stored {
		label := o.Kind + " " + o.Name
		if v := versions[label]; v < o.Version {
			out = append(out, fmt.Sprintf("%s at version %d", label, v))
		}
	}
	return out
}

func highestVersion(stored []platform.Object) uint64 {
	var v uint64
	for _, o := range stored {
		v = max(v, o.Version)
	}
	return v
}
