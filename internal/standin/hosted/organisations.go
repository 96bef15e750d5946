package hosted

import (
	"fmt"
	"time"
)

// Organisation is an organisation of the operators' configuration. Nil limits are left
// out of it.
type Organisation struct {
	Name  string
	Keys  []string
	Rate  *float64 // operations per second
	Burst *float64
}

// ConfigureOrganisations stores a configuration as Configure does, with organisations. A
// nil list is stored as an empty one.
func (s *Store) ConfigureOrganisations(version int, routes []Route, maxConnections map[string]int, txIdle time.Duration, all []Organisation) {
	tenants := make([]map[string]any, 0, len(all))
	for _, o := range all {
		tenant := map[string]any{"name": o.Name, "api_keys": append([]string{}, o.Keys...), "priority": 1}
		if o.Rate != nil {
			tenant["rate_per_s"] = *o.Rate
		}
		if o.Burst != nil {
			tenant["burst_size"] = *o.Burst
		}
		tenants = append(tenants, tenant)
	}
	spec := configuration(version, routes, maxConnections, txIdle)
	spec["tenants"] = tenants
	s.Put("config", "main", spec)
}

// systemStatementID is the id of statements that an instance sends on its own behalf. They
// may run on any connection.
const systemStatementID = "-"

// SetOrganisationOf sets the function that returns the organisation of a caller's request,
// by the request's id, and whether it is known. Statements of requests with a known
// organisation that are sent on a connection opened under another name are recorded.
func (g *Group) SetOrganisationOf(organisationOf func(id string) (string, bool)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.organisationOf = organisationOf
}

// WrongConnections returns a description of each statement of a caller that was sent on a
// connection opened under another name than that of the caller's organisation.
func (g *Group) WrongConnections() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]string(nil), g.wrongConnections...)
}

// checkOrganisation records a statement that was sent on a connection of another
// organisation. conn.database.group.mu is not held.
func (conn *connection) checkOrganisation(id, text string) {
	g := conn.database.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if id == systemStatementID || g.organisationOf == nil {
		return
	}
	if want, known := g.organisationOf(id); known && want != conn.instance {
		g.wrongConnections = append(g.wrongConnections,
			fmt.Sprintf("%s: %.80q of organisation %s, id %s, was sent on a connection opened as %s", conn.database.id, text, want, id, conn.instance))
	}
}
