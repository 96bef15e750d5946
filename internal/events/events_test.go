package events

import (
	"fmt"
	"testing"
	"time"
)

// Guards against evicting the events of a failover while an overload records an
// event for each refused request.
func TestRequestEventsDoNotEvictDecisions(t *testing.T) {
	r := NewRing("gb-1", 64, time.Now, nil)
	r.Record(Event{Kind: KindPromotion, Group: "huts-1", Text: "promoted"})
	for i := range 1000 {
		r.Record(Event{Kind: KindShed, Group: "huts-1", Request: fmt.Sprint("r", i)})
	}
	if got := r.Decisions("huts-1", 10); len(got) != 1 || got[0].Kind != KindPromotion {
		t.Errorf("decisions %v, want the promotion", got)
	}
	if got := r.Find("r999", "", 0); len(got) != 1 {
		t.Errorf("events of the newest request: %v, want one", got)
	}
	if got := r.Find("r0", "", 0); len(got) != 0 {
		t.Errorf("events of the oldest request: %v, want none in a buffer of 64", got)
	}
	all := r.Find("", "huts-1", 0)
	if len(all) != 49 || all[0].Kind != KindPromotion {
		t.Errorf("%d events, first %v; want 48 of requests after the promotion", len(all), all[0].Kind)
	}
	if got := r.Find("", "huts-1", 5); len(got) != 5 || got[4].Request != "r999" {
		t.Errorf("newest five events: %v", got)
	}
}
