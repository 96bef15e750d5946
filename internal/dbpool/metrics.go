package dbpool

import (
	"errors"
	"time"

	"geraniumbeam/internal/measure"
	"geraniumbeam/internal/result"
)

// Names of the metrics of databases; docs/OPERATIONS.md describes them.
const (
	metricPhase       = "geraniumbeam_database_microseconds"
	metricConnections = "geraniumbeam_connections_total"
	metricExchanges   = "geraniumbeam_exchanges_total"
)

// Phases of the work with a database.
const (
	phaseQueue   = "queue"    // wait for a connection of this instance
	phaseConnect = "connect"  // opening of a connection
	phaseAnswer  = "exchange" // question and answer, the way included
)

func (p *Pool) observePhase(phase string, took time.Duration) {
	p.metrics.Observe(metricPhase, measure.Labels{{Name: "service", Value: p.db.Service}, {Name: "phase", Value: phase}}, took)
}

func (p *Pool) count(metric, outcome string) {
	p.metrics.Count(metric, measure.Labels{
		{Name: "service", Value: p.db.Service}, {Name: "database", Value: p.db.ID}, {Name: "outcome", Value: outcome},
	})
}

// countConnect counts the opening of a connection: refused ones were answered by
// the database. Connections to owners have outcomes of their own.
func (p *Pool) countConnect(err error) {
	var refused *result.Error
	switch {
	case p.via != "" && err == nil:
		p.count(metricConnections, "to_owner")
	case p.via != "":
		p.count(metricConnections, "no_owner")
	case err == nil:
		p.count(metricConnections, "opened")
	case errors.As(err, &refused):
		p.count(metricConnections, "refused")
	default:
		p.count(metricConnections, "failed")
	}
}

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
