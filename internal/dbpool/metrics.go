package dbpool

import (
	"errors"
	"time"

	"geraniumbeam/internal/measure"
	"geraniumbeam/internal/result"
)

// Metric names; docs/OPERATIONS.md describes the metrics.
const (
	metricPhase       = "geraniumbeam_database_microseconds"
	metricConnections = "geraniumbeam_connections_total"
	metricExchanges   = "geraniumbeam_exchanges_total"
	metricRefusals    = "geraniumbeam_refusals_learned_total"

	metricOrganisationConnections = "geraniumbeam_organisation_connections_total"
)

// Phases of a request, as values of the label "phase" of metricPhase.
const (
	phaseQueue    = "queue"    // waiting in the instance's queue
	phaseConnect  = "connect"  // opening a connection
	phaseSession  = "session"  // a round trip without a statement: session variables, Begin, rollback
	phaseExchange = "exchange" // a round trip with a statement
)

func (p *Pool) observePhase(phase string, took time.Duration) {
	p.metrics.Observe(metricPhase, measure.Labels{{Name: "service", Value: p.db.Service}, {Name: "phase", Value: phase}}, took)
}

func (p *Pool) count(metric, outcome string) {
	p.metrics.Count(metric, measure.Labels{
		{Name: "service", Value: p.db.Service}, {Name: "database", Value: p.db.ID}, {Name: "outcome", Value: outcome},
	})
}

// countConnect counts the opening of a connection. The outcome "refused" means
// that the database answered with an error. Connections to owners have separate
// outcomes.
func (p *Pool) countConnect(err error) {
	var refused *result.Error
	switch {
	case p.owner != "" && err == nil:
		p.count(metricConnections, "to_owner")
	case p.owner != "":
		p.count(metricConnections, "no_owner")
	case err == nil:
		p.count(metricConnections, "opened")
	case errors.As(err, &refused):
		p.count(metricConnections, "refused")
	default:
		p.count(metricConnections, "failed")
	}
}

// countOrganisation counts an event of the connections of organisations.
func (p *Pool) countOrganisation(outcome string) { p.count(metricOrganisationConnections, outcome) }

func (p *Pool) countExchange(err error) {
	var notSent *NotSentError
	switch {
	case err == nil:
		p.count(metricExchanges, "answered")
	case errors.As(err, &notSent):
		p.count(metricExchanges, "not_sent")
	default:
		p.count(metricExchanges, "unanswered")
	}
}
