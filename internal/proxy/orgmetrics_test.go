package proxy

import (
	"fmt"
	"strings"
	"testing"

	"geraniumbeam/internal/organisation"
	"geraniumbeam/internal/result"
)

// Guards against metrics that grow with the number of organisations, against the largest
// ones missing among them, and against operations that are lost when an organisation is
// removed.
func TestOrganisationMetricsAreBounded(t *testing.T) {
	h := newHarness(t)
	var out strings.Builder
	if err := h.server.WriteMetrics(&out); err != nil || out.Len() != 0 {
		t.Errorf("without organisations: %q, %v", out.String(), err)
	}
	h.organise()
	counts := &h.server.organisations
	const all = 300
	for i := range all {
		for range i + 1 {
			counts.requested(fmt.Sprint("org-", i))
		}
		counts.ended(fmt.Sprint("org-", i), result.OrganisationLimit)
	}
	counts.requested(organisation.Anonymous)
	counts.retain(organisation.NewDirectory([]organisation.Organisation{{Name: "org-299"}, {Name: "org-7"}}))
	if n := len(counts.byName); n != 3 {
		t.Errorf("%d organisations are kept", n)
	}
	for i := range all {
		counts.requested(fmt.Sprint("new-", i))
	}
	if err := h.server.WriteMetrics(&out); err != nil {
		t.Fatal(err)
	}
	text := out.String()
	if n := strings.Count(text, metricRequested+"{"); n != maxOrganisationSeries+1 {
		t.Errorf("%d series:\n%s", n, text)
	}
	// 45,150 requests of the first organisations, 1 and 300 of the others, of which the
	// 20 largest have 300, 8 and 18 times 1.
	for _, want := range []string{
		metricRequested + `{organisation="org-299"} 300`, metricRequested + `{organisation="org-7"} 8`,
		fmt.Sprintf(`%s{organisation="%s"} %d`, metricRequested, otherOrganisations, 45150+301-300-8-18),
		fmt.Sprintf(`%s{organisation="%s",code="GB3005"} %d`, metricRefused, otherOrganisations, all-2),
	} {
		if !strings.Contains(text, want+"\n") {
			t.Errorf("%s is missing in:\n%s", want, text)
		}
	}
}
