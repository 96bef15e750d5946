package proxy

import (
	"time"

	"geraniumbeam/internal/measure"
)

// Names of the request metrics; docs/OPERATIONS.md describes them.
const (
	metricRequests = "geraniumbeam_requests_total"
	metricLatency  = "geraniumbeam_request_microseconds"
	metricReads    = "geraniumbeam_balanced_reads_total"
)

// recordRequest records the count and latency of a finished request. The code is
// "ok" or a result code.
func recordRequest(m *measure.Registry, route, kind, code string, took time.Duration) {
	m.Count(metricRequests, measure.Labels{{Name: "route", Value: route}, {Name: "kind", Value: kind}, {Name: "code", Value: code}})
	m.Observe(metricLatency, measure.Labels{{Name: "route", Value: route}}, took)
}
