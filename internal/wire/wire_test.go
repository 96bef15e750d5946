package wire

import (
	"testing"

	"geraniumbeam/internal/result"
)

// Guards against a failure sent by another version that is treated as "not run",
// or whose code has no SQLSTATE and no meaning.
func TestUnknownFailure(t *testing.T) {
	for _, f := range []*Failure{
		{Code: 4242, Message: "new", Ran: Ran(result.RanUnknown)},
		{Code: uint32(result.Overloaded), Message: "new", Ran: Ran(7)},
		{Code: uint32(result.Overloaded), Message: "new", Ran: Ran(-1)},
	} {
		e := result.From(f.Err())
		if e.Ran != result.RanUnknown || e.Message != "new" || result.Lookup(e.Code).Code != e.Code {
			t.Errorf("%v became code %v, ran %v", f, e.Code, e.Ran)
		}
	}
	if e := result.From((&Failure{Code: 4242, Ran: Ran(result.RanNo)}).Err()); e.Code != result.Internal || e.Ran != result.RanNo {
		t.Errorf("unknown code became %v, ran %v; want Internal, and not run as the sender stated", e.Code, e.Ran)
	}
}
