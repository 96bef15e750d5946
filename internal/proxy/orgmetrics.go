package proxy

import (
	"cmp"
	"io"
	"maps"
	"slices"
	"sync"

	"geraniumbeam/internal/measure"
	"geraniumbeam/internal/organisation"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/statement"
)

// Names of the metrics of organisations; docs/OPERATIONS.md describes them.
const (
	metricRequested = "geraniumbeam_organisation_requested_total"
	metricServed    = "geraniumbeam_organisation_served_total"
	metricRefused   = "geraniumbeam_organisation_refused_total"
)

const (
	// maxOrganisationSeries is the number of organisations that are written on their own.
	maxOrganisationSeries = 20
	// otherOrganisations is the label of the rest. It can't be the name of an
	// organisation, which has no blanks.
	otherOrganisations = "all others"
)

// operationCounts counts the operations of an organisation: single statements and
// transactions. Those that were neither served nor refused are in progress, or their
// caller has disconnected.
type operationCounts struct {
	requested, served int64
	refused           map[result.Code]int64
}

func (c *operationCounts) refuse(code result.Code, n int64) {
	if c.refused == nil {
		c.refused = make(map[result.Code]int64)
	}
	c.refused[code] += n
}

func (c *operationCounts) add(other *operationCounts) {
	c.requested += other.requested
	c.served += other.served
	for code, n := range other.refused {
		c.refuse(code, n)
	}
}

// organisationCounts counts the operations of all organisations. It is safe for concurrent
// use. Its memory is bounded by the number of organisations in the configuration.
type organisationCounts struct {
	mu     sync.Mutex
	byName map[string]*operationCounts
	former operationCounts // of organisations that were removed
}

// update changes the counts of an organisation.
func (o *organisationCounts) update(name string, f func(*operationCounts)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	c, ok := o.byName[name]
	if !ok {
		c = &operationCounts{}
		if o.byName == nil {
			o.byName = make(map[string]*operationCounts)
		}
		o.byName[name] = c
	}
	f(c)
}

func (o *organisationCounts) requested(name string) {
	o.update(name, func(c *operationCounts) { c.requested++ })
}

// ended counts the end of an operation; code is 0 if it was served.
func (o *organisationCounts) ended(name string, code result.Code) {
	o.update(name, func(c *operationCounts) {
		if code == 0 {
			c.served++
			return
		}
		c.refuse(code, 1)
	})
}

// retain merges the counts of the organisations that are not in the directory.
func (o *organisationCounts) retain(d *organisation.Directory) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for name, c := range o.byName {
		if _, ok := d.ByName(name); !ok && name != organisation.Anonymous {
			o.former.add(c)
			delete(o.byName, name)
		}
	}
}

// largest returns the organisations with the most requests, and the sum of the others.
func (o *organisationCounts) largest() (names []string, counts map[string]operationCounts) {
	o.mu.Lock()
	defer o.mu.Unlock()
	names = slices.SortedFunc(maps.Keys(o.byName), func(a, b string) int {
		return cmp.Or(cmp.Compare(o.byName[b].requested, o.byName[a].requested), cmp.Compare(a, b))
	})
	counts = make(map[string]operationCounts)
	var rest operationCounts
	rest.add(&o.former)
	for i, name := range names {
		if i >= maxOrganisationSeries {
			rest.add(o.byName[name])
			continue
		}
		var c operationCounts
		c.add(o.byName[name])
		counts[name] = c
	}
	names = append(names[:min(len(names), maxOrganisationSeries)], otherOrganisations)
	counts[otherOrganisations] = rest
	return names, counts
}

// write writes the counts as text.
func (o *organisationCounts) write(w io.Writer) error {
	names, counts := o.largest()
	for _, name := range names {
		c := counts[name]
		label := measure.Label{Name: "organisation", Value: name}
		if err := measure.WriteValue(w, metricRequested, measure.Labels{label}, c.requested); err != nil {
			return err
		}
		if err := measure.WriteValue(w, metricServed, measure.Labels{label}, c.served); err != nil {
			return err
		}
		for _, code := range slices.Sorted(maps.Keys(c.refused)) {
			labels := measure.Labels{label, {Name: "code", Value: code.String()}}
			if err := measure.WriteValue(w, metricRefused, labels, c.refused[code]); err != nil {
				return err
			}
		}
	}
	return nil
}

// WriteMetrics writes the metrics of organisations as text, if the deployment has any.
func (s *Server) WriteMetrics(w io.Writer) error {
	if s.cfg.Topology.Snapshot().Directory == nil {
		return nil
	}
	return s.organisations.write(w)
}

// countOperation counts the start or the end of an operation. before is the transaction
// that was open before the statement.
func (s *session) countOperation(st statement.Statement, before *transaction, a statement.Answer) {
	if s.srv.cfg.Topology.Snapshot().Directory == nil {
		return
	}
	name := cmp.Or(s.identity.name, organisation.Anonymous)
	code := result.Code(0)
	if a.Err != nil {
		code = a.Err.Code
	}
	counts := &s.srv.organisations
	if before == nil {
		if st.Kind != statement.Begin && st.Kind != statement.Read && st.Kind != statement.Write && st.Kind != statement.Execute {
			return
		}
		counts.requested(name)
		if s.tx == nil {
			counts.ended(name, code)
		}
		return
	}
	before.failure = cmp.Or(before.failure, code)
	if s.tx == nil {
		counts.ended(name, before.failure)
	}
}
