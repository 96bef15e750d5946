package confirm

import (
	"testing"

	"geraniumbeam/internal/backend"
)

func statusAt(term, last, offset uint64) backend.Status {
	return backend.Status{Term: term, Last: backend.Position{Term: last, Offset: offset}}
}

// Guards against a commit that waits until its deadline although no majority can
// confirm it any more, and against one that fails although only one of two
// replicas was raised.
func TestStates(t *testing.T) {
	tr := New(4, 3)
	r := Requirement{Offset: 10}
	steps := []struct {
		replica string
		status  backend.Status
		want    State
	}{
		{"b", statusAt(3, 3, 20), Pending}, // lower term
		{"b", statusAt(4, 3, 20), Pending}, // its log may differ from the primary's
		{"b", statusAt(4, 4, 9), Pending},
		{"c", statusAt(5, 4, 9), Pending}, // one replica raised: the other may confirm
		{"b", statusAt(5, 5, 30), Superseded},
	}
	for i, s := range steps {
		tr.Report(s.replica, 0, s.status)
		if got := tr.Check(r); got != s.want {
			t.Fatalf("step %d: state %v, want %v", i, got, s.want)
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
			tr.Report(string(rune('a'+n)), 0, statusAt(1, 1, 1))
		}
		if tr.Check(Requirement{Offset: 1}) != Confirmed {
			t.Errorf("%d databases: not confirmed after %d reports", databases, reports)
		}
	}
}

// Guards against calls that no requirement needs, and against a read that is
// verified by a call which began before it.
func TestRequiredReportsAndVerification(t *testing.T) {
	tr := New(1, 3)
	r := Requirement{Offset: 5, VerifyAfter: 7}
	if n := tr.AddRequired(RequiredReports{}, r); n != (RequiredReports{Offset: 5, Verify: true}) {
		t.Errorf("required reports = %+v", n)
	}
	tr.Report("b", 6, statusAt(1, 1, 5))
	if n := tr.AddRequired(RequiredReports{}, r); n != (RequiredReports{Verify: true}) || tr.Check(r) != Pending {
		t.Errorf("required reports = %+v, state %v", n, tr.Check(r))
	}
	tr.Report("c", 8, statusAt(1, 0, 0))
	if n := tr.AddRequired(RequiredReports{}, r); n != (RequiredReports{}) || tr.Check(r) != Confirmed {
		t.Errorf("required reports = %+v, state %v", n, tr.Check(r))
	}
}
