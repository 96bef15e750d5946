package quota

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

// Guards against an admission from the local bucket that allocates.
func TestTakeAllocatesNothing(t *testing.T) {
	s := NewShare("i", "i#1")
	limit := Limit{Rate: 1e9, Storage: 1e9}
	now := time.Hour
	s.ObserveToken(1)
	s.Take("o", limit, now)
	r, _ := s.Request(now, func(string) (Limit, bool) { return limit, true })
	s.Apply(Reply{Token: 1, Seq: r.Seq, Granting: true, Validity: ShareValidity, Grants: []Grant{{Organisation: "o", Rate: 1, Cap: 1}}}, now, func(string) (Limit, bool) { return limit, true })
	now += time.Second
	admitted := 0
	if n := testing.AllocsPerRun(1000, func() {
		if s.Take("o", limit, now).Outcome == Admitted {
			admitted++
		}
	}); n != 0 || admitted == 0 {
		t.Errorf("%v allocations per admission, %d admitted", n, admitted)
	}
}

func BenchmarkTake(b *testing.B) {
	s := NewShare("i", "i#1")
	limit := Limit{Rate: 1e12, Storage: 1e12}
	now := time.Hour
	s.ObserveToken(1)
	s.Take("o", limit, now)
	r, _ := s.Request(now, func(string) (Limit, bool) { return limit, true })
	s.Apply(Reply{Token: 1, Seq: r.Seq, Granting: true, Validity: ShareValidity, Grants: []Grant{{Organisation: "o", Rate: 1, Cap: 1}}}, now, func(string) (Limit, bool) { return limit, true })
	b.ReportAllocs()
	for b.Loop() {
		now += time.Nanosecond
		s.Take("o", limit, now)
	}
}

// BenchmarkExchange3900 measures one exchange, with its JSON on the coordinator's side, in a
// fleet of 3,900 instances that each list 20 of 100 organisations.
func BenchmarkExchange3900(b *testing.B) {
	const instances, orgs, listed = 3900, 100, 20
	limit := func(string) (Limit, bool) { return Limit{Rate: 1000, Storage: 1000}, true }
	now := time.Hour
	a := NewAllocator(AllocatorConfig{Instance: "i0", Token: 1, Asked: now, Started: now})
	request := func(i, seq int) []byte {
		r := Request{Instance: fmt.Sprint("i", i), Incarnation: fmt.Sprint("i", i, "#1"), Token: 1, Seq: uint64(seq), Full: seq == 1}
		for k := range listed {
			r.Asks = append(r.Asks, Ask{Organisation: fmt.Sprint("organisation-", (i+k)%orgs), Demand: 0.5, Need: 1})
		}
		data, err := json.Marshal(r)
		if err != nil {
			b.Fatal(err)
		}
		return data
	}
	now += 20 * time.Second
	a.Confirm(now)
	seq, size, replySize := 0, 0, 0
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		if n%instances == 0 {
			seq++
			a.Confirm(now)
		}
		b.StopTimer()
		data := request(n%instances, seq)
		size = len(data)
		b.StartTimer()
		now += 1250 * time.Microsecond // 800 requests a second
		var r Request
		if err := json.Unmarshal(data, &r); err != nil {
			b.Fatal(err)
		}
		out, err := json.Marshal(a.Exchange(r, now, limit))
		if err != nil {
			b.Fatal(err)
		}
		replySize = len(out)
	}
	b.ReportMetric(float64(size), "request-bytes")
	b.ReportMetric(float64(replySize), "reply-bytes")
}
