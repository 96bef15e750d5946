package revision

import "testing"

// Guards against a state from before a restore that counts as newer because its
// number is higher.
func TestLaterEraIsNewer(t *testing.T) {
	before, after := Revision{Era: 1, Number: 90}, Revision{Era: 2, Number: 40}
	if !before.Before(after) || after.Before(before) || Max(before, after) != after || Min(before, after) != before {
		t.Errorf("%v is not newer than %v", after, before)
	}
	if next := (Revision{Era: 2, Number: 41}); !after.Before(next) {
		t.Errorf("%v is not newer than %v", next, after)
	}
}
