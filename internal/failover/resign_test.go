package failover

import (
	"testing"

	"geraniumbeam/internal/backend"
	"geraniumbeam/internal/platform"
)

// Guards against a resigned primary that is promoted again because its log has the
// longest unconfirmed tail, and against an Avoid field that stays set after the
// next term.
func TestResignedPrimaryIsAvoided(t *testing.T) {
	group := platform.Group{Term: 3, Primary: "a", Databases: []platform.Database{{Name: "a"}, {Name: "b"}, {Name: "c"}}}
	r := NewResignation(3, "a", "x", "n1")
	r.HandleRead(1, group, nil)
	_, resigned := r.Proposal()
	if resigned.Term != 4 || resigned.Primary != "" || resigned.Avoid != "a" {
		t.Fatalf("the resignation writes %+v", resigned)
	}
	r.HandleWrite(2, resigned, nil)
	if r.Step() != StepRaiseTerm {
		t.Fatalf("step %v after the term was claimed", r.Step())
	}
	for _, c := range []struct {
		raised []string
		want   string
	}{
		{[]string{"a", "b", "c"}, "c"},
		{[]string{"a", "b"}, "a"}, // b alone may lack what c confirmed
	} {
		p := NewPlan(4, "y", "n2", false)
		p.HandleRead(2, resigned, nil)
		_, claimed := p.Proposal()
		if claimed.Term != 5 || claimed.Avoid != "" {
			t.Fatalf("the next candidate writes %+v", claimed)
		}
		p.HandleWrite(3, claimed, nil)
		offsets := map[string]uint64{"a": 9, "b": 7, "c": 8}
		statuses := make(map[string]backend.Status)
		for _, name := range c.raised {
			statuses[name] = backend.Status{Term: 5, Role: backend.RoleFenced, Last: backend.Position{Term: 3, Offset: offsets[name]}}
		}
		p.HandleRaise(statuses)
		if p.Target() != c.want {
			t.Errorf("raised %v: chose %q, want %q", c.raised, p.Target(), c.want)
		}
	}
}
