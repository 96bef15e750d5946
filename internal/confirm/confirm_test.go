package confirm

import (
	"testing"

	"geraniumbeam/internal/backend"
)

func at(term, last, offset uint64) backend.Status {
	return backend.Status{Term: term, Last: backend.Position{Term: last, Offset: offset}}
}

// Guards against waiting for the deadline when no majority can confirm any
// more, and against giving up when only one of two replicas was raised.
func TestVerdicts(t *testing.T) {
	tr := New(4, 3)
	w := Requirement{Offset: 10}
	steps := []struct {
		replica string
		status  backend.Status
		want    State
	}{
		{"b", at(3, 3, 20), Pending}, // lower term
		{"b", at(4, 3, 20), Pending}, // its log may differ
		{"b", at(4, 4, 9), Pending},
		{"c", at(5, 4, 9), Pending}, // one replica raised: the other may confirm
		{"b", at(5, 5, 30), Superseded},
	}
	for i, s := range steps {
		tr.Report(s.replica, 0, s.status)
		if got := tr.Check(w); got != s.want {
			t.Fatalf("step %d: verdict %v, want %v", i, got, s.want)
		}
	}
	if got := tr.Check(Requirement{Offset: 9}); got != Confirmed {
		t.Errorf("a confirmed position became %v", got)
	}
}

// Guards against a group size for which the quorum is no majority.
func TestQuorumBySize(t *testing.T) {
	for databases, reports := range map[int]int{1: 0, 2: 1, 3: 1, 4: 2, 5: 2} {
		tr := New(1, databases)
		for n := range reports {
			if tr.Check(Requirement{Offset: 1}) == Confirmed {
				t.Errorf("%d databases: confirmed after %d reports", databases, n)
			}
			tr.Report(string(rune('a'+n)), 0, at(1, 1, 1))
		}
		if tr.Check(Requirement{Offset: 1}) != Confirmed {
			t.Errorf("%d databases: not confirmed after %d reports", databases, reports)
		}
	}
}

// Guards against calls that nobody needs, and against a verification that a
// call before the read answers.
func TestNeedsAndVerification(t *testing.T) {
	tr := New(1, 3)
	w := Requirement{Offset: 5, VerifyAfter: 7}
	if n := tr.AddRequired(RequiredReports{}, w); n != (RequiredReports{Offset: 5, Verify: true}) {
		t.Errorf("needs = %+v", n)
	}
	tr.Report("b", 6, at(1, 1, 5))
	if n := tr.AddRequired(RequiredReports{}, w); n != (RequiredReports{Verify: true}) || tr.Check(w) != Pending {
		t.Errorf("needs = %+v, verdict %v", n, tr.Check(w))
	}
	tr.Report("c", 8, at(1, 0, 0))
	if n := tr.AddRequired(RequiredReports{}, w); n != (RequiredReports{}) || tr.Check(w) != Confirmed {
		t.Errorf("needs = %+v, verdict %v", n, tr.Check(w))
	}
}
