package report

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"geraniumbeam/internal/metrics"
)

// WriteJSON writes the report as indented JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}

// WriteText writes the report as a table, followed by warnings and by the
// instances that did not answer.
func (r *Report) WriteText(w io.Writer) error {
	fmt.Fprintf(w, "error-budget burn; fast window %.0f s, slow window %.0f s, period %s\n", r.FastSeconds, r.SlowSeconds, r.Period)
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tw, "CLASS\tDATA CENTRE\tOBJECTIVE\tREQUESTS\tUSED\tFAST\tSLOW\tEXHAUSTED IN\tREASONS")
	for _, b := range r.Budgets {
		fmt.Fprintf(tw, "%s.%s\t%s\t%g %%\t%d\t%.1f %%\t%.2f\t%.2f\t%s\t%s\n", b.Service, b.Class, b.DataCentre,
			100*b.Objective, b.Requests, 100*b.BudgetUsed, b.FastBurnRate, b.SlowBurnRate, b.exhaustion(), b.reasonList())
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	for _, m := range r.Warnings {
		fmt.Fprintln(w, "warning:", m)
	}
	for _, u := range r.Unreachable {
		fmt.Fprintf(w, "no answer from %s: %s\n", u.Address, u.Error)
	}
	return nil
}

func (b BudgetStatus) exhaustion() string {
	if b.ExhaustedInSeconds < 0 {
		return "-"
	}
	// An extrapolation over more than a year is not meaningful, and much longer
	// times overflow a time.Duration.
	const yearSeconds = 365 * 24 * 3600
	if b.ExhaustedInSeconds > yearSeconds {
		return "over a year"
	}
	return time.Duration(b.ExhaustedInSeconds * float64(time.Second)).Round(time.Second).String()
}

func (b BudgetStatus) reasonList() string {
	var words []string
	for _, r := range metrics.Reasons {
		if share := b.Reasons[r]; share > 0 {
			words = append(words, fmt.Sprintf("%s %.0f %%", r, 100*share))
		}
	}
	return cmp.Or(strings.Join(words, ", "), "-")
}
