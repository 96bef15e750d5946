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

// pollInterval is the time between two questions to the instances in
// waitInForce.
const pollInterval = 100 * time.Millisecond

// waitInForce returns when every instance holds the stored objects or newer
// ones, or names those that do not after timeout.
func (e *Env) waitInForce(ctx context.Context, stored []platform.Object, timeout time.Duration) error {
	ts, err := e.targets(ctx)
	if err != nil {
		return err
	}
	start := time.Now()
	for {
		late := e.behind(ctx, ts, stored)
		if len(late) == 0 {
			e.printf("Version %d is in force on %d instances after %v.\n", highest(stored), len(ts), time.Since(start).Round(time.Millisecond))
			return nil
		}
		if time.Since(start) >= timeout {
			return fmt.Errorf("%w: version %d is not in force on %s", ErrUnreachable, highest(stored), strings.Join(late, ", "))
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
}

// behind names the instances that do not hold the stored objects. The highest
// version of an instance does not tell, because a later change of another object
// can arrive first.
func (e *Env) behind(ctx context.Context, ts []target, stored []platform.Object) []string {
	var late []string
	for _, a := range askAll(ctx, e, ts, func(ctx context.Context, c wire.Admin) (*wire.StatusResponse, error) {
		return c.Status(ctx, &wire.StatusRequest{})
	}) {
		if a.err != nil {
			late = append(late, a.target.name+" (no answer)")
			continue
		}
		if missing := missingObjects(a.value, stored); len(missing) > 0 {
			late = append(late, fmt.Sprintf("%s (%s)", a.target.name, strings.Join(missing, "; ")))
		}
	}
	slices.Sort(late)
	return late
}

func missingObjects(s *wire.StatusResponse, stored []platform.Object) []string {
	held := make(map[string]uint64)
	for _, o := range s.GetObjects() {
		held[o.GetKind()+" "+o.GetName()] = o.GetVersion()
	}
	var out []string
	for _, o := range stored {
		label := o.Kind + " " + o.Name
		if v := held[label]; v < o.Version {
			out = append(out, fmt.Sprintf("%s at version %d", label, v))
		}
	}
	return out
}

func highest(stored []platform.Object) uint64 {
	var v uint64
	for _, o := range stored {
		v = max(v, o.Version)
	}
	return v
}
