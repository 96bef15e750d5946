package platformd

import (
	"io"
	"maps"
	"slices"

	"geraniumbeam/internal/clock"
	"geraniumbeam/internal/measure"
)

// Names of the metrics of what an instance believes; docs/OPERATIONS.md
// describes them.
const (
	metricRecordAge     = "geraniumbeam_record_age_microseconds"
	metricRecordToken   = "geraniumbeam_record_token"
	metricPrimaryUsable = "geraniumbeam_primary_usable"
	metricVersion       = "geraniumbeam_configuration_version"
	metricInstances     = "geraniumbeam_instances"
	metricIsolated      = "geraniumbeam_isolated"
	metricReady         = "geraniumbeam_ready"
)

// WriteMetrics writes counters, latencies and what the instance believes now as
// text.
func (i *Instance) WriteMetrics(w io.Writer) error {
	if err := i.metrics.WriteText(w); err != nil {
		return err
	}
	if err := i.writeRecords(w); err != nil {
		return err
	}
	for _, v := range []struct {
		name  string
		value int64
	}{
		{metricVersion, int64(i.topology.Snapshot().Version)},
		{metricInstances, int64(i.primacy.Instances())},
		{metricIsolated, flag(i.primacy.Isolated())},
		{metricReady, flag(i.Ready())},
	} {
		if err := measure.WriteValue(w, v.name, measure.Labels{}, v.value); err != nil {
			return err
		}
	}
	return nil
}

// writeRecords writes how old the knowledge of each service's primary is, and
// whether it may be used. A service without a record has no lines.
func (i *Instance) writeRecords(w io.Writer) error {
	now := clock.SinceBoot()
	for _, service := range slices.Sorted(maps.Keys(i.topology.Snapshot().Services)) {
		rec, confirmed, ok := i.records.Record(service)
		if !ok {
			continue
		}
		_, usable := i.records.Primary(service)
		labels := measure.Labels{{Name: "service", Value: service}}
		for _, v := range []struct {
			name  string
			value int64
		}{
			{metricRecordAge, (now - confirmed).Microseconds()},
			{metricRecordToken, int64(rec.Token)},
			{metricPrimaryUsable, flag(usable)},
		} {
			if err := measure.WriteValue(w, v.name, labels, v.value); err != nil {
				return err
			}
		}
	}
	return nil
}

func flag(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
