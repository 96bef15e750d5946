package outcome

import (
	"errors"
	"fmt"
	"testing"

	"github.com/cockroachdb/datadriven"

	"geraniumbeam/internal/result"
)

var errReset = errors.New("connection reset")

// Guards against reporting "not run" for a request that may have been run, and
// against a retry of a request that may have been run and is not repeatable.
func TestOutcome(t *testing.T) {
	datadriven.RunTest(t, "testdata/outcome", func(t *testing.T, d *datadriven.TestData) string {
		r := New(d.HasArg("repeatable"))
		failures := map[string]error{
			"cut":       errReset,
			"too-large": result.Errorf(result.AnswerTooLarge, "too large"),
			"copy":      result.Errorf(result.NotSupported, "copy"),
			"floor":     result.Errorf(result.BehindFloor, "behind"),
		}
		steps := map[string]func(){
			"send":      r.MarkSent,
			"effect":    func() { r.MarkDone(EffectConfirmed) },
			"no-effect": func() { r.MarkDone(EffectNone) },
			"no-proof":  func() { r.MarkDone(EffectUnknown) },
		}
		var failure error
		for _, a := range d.CmdArgs {
			if f, ok := failures[a.Key]; ok {
				failure = f
			} else if step, ok := steps[a.Key]; ok {
				step()
			}
		}
		out := fmt.Sprintf("%v ran=%v retry=%v", r.State(), r.Ran(), r.MayRetry())
		if failure != nil {
			f := r.Failure(result.DatabaseDown, failure)
			out += fmt.Sprintf(" code=%s reported=%v", result.Lookup(f.Code).Name, f.Ran)
		}
		return out + "\n"
	})
}
