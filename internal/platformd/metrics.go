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
	metricPrimaryLost   = "geraniumbeam_primary_lost_microseconds"
	metricDetourAge     = "geraniumbeam_primary_detour_age_microseconds"
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
	if err := i.pools.WriteMetrics(w); err != nil {
		return err
	}
	if err := i.writeRecords(w); err != nil {
		return err
	}
	if i.limits != nil {
		if err := i.limits.WriteMetrics(w); err != nil {
			return err
		}
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
		if err := i.writeReach(w, service, rec.Primary); err != nil {
			return err
		}
	}
	return nil
}

// writeReach writes since when this instance has not reached a primary, and the age of
// the latest answer through another instance. The second line is left out while the
// primary is reached, so that it does not show detours of the past.
func (i *Instance) writeReach(w io.Writer, service, primary string) error {
	reach, now := i.pools.Reach(service, primary), clock.SinceBoot()
	labels := measure.Labels{{Name: "service", Value: service}}
	if !reach.Lost() {
		return measure.WriteValue(w, metricPrimaryLost, labels, 0)
	}
	if err := measure.WriteValue(w, metricPrimaryLost, labels, (now - reach.LostSince).Microseconds()); err != nil {
		return err
	}
	if reach.DetourAnswered < reach.LostSince {
		return nil
	}
	labels[1] = measure.Label{Name: "through", Value: reach.Detour}
	return measure.WriteValue(w, metricDetourAge, labels, (now - reach.DetourAnswered).Microseconds())
}

func boolToInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
