package platformd

import (
	"io"
	"maps"
	"slices"

	"geraniumbeam/internal/clock"
	"geraniumbeam/internal/contain"
	"geraniumbeam/internal/measure"
)

// Names of the metrics of the instance's state; docs/OPERATIONS.md describes them.
const (
	metricRecordAge     = "geraniumbeam_record_age_microseconds"
	metricRecordToken   = "geraniumbeam_record_token"
	metricPrimaryUsable = "geraniumbeam_primary_usable"
	metricStoreEra      = "geraniumbeam_store_era"
	metricVersion       = "geraniumbeam_configuration_version"
	metricInstances     = "geraniumbeam_instances"
	metricIsolated      = "geraniumbeam_isolated"
	metricPanics        = "geraniumbeam_contained_panics_total"
	metricReady         = "geraniumbeam_ready"
)

// WriteMetrics writes counters, latencies and the current state of the instance as
// text.
func (i *Instance) WriteMetrics(w io.Writer) error {
	if err := i.metrics.WriteText(w); err != nil {
		return err
	}
	if err := i.proxy.WriteMetrics(w); err != nil {
		return err
	}
	if err := i.writeRecords(w); err != nil {
		return err
	}
	for _, v := range []struct {
		name  string
		value int64
	}{
		{metricStoreEra, int64(i.primacy.StoreEra())},
		{metricVersion, int64(i.topology.Snapshot().Version)},
		{metricInstances, int64(i.primacy.Instances())},
		{metricIsolated, boolToInt(i.primacy.Isolated())},
		{metricReady, boolToInt(i.Ready())},
		{metricPanics, contain.Panics()},
	} {
		if err := measure.WriteValue(w, v.name, measure.Labels{}, v.value); err != nil {
			return err
		}
	}
	return nil
}

// writeRecords writes, for each service, the age and token of the record and whether
// its primary may be used. A service without a record has no lines.
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
			{metricPrimaryUsable, boolToInt(usable)},
		} {
			if err := measure.WriteValue(w, v.name, labels, v.value); err != nil {
				return err
			}
		}
	}
	return nil
}

func boolToInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
