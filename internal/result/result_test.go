package result

import (
	"errors"
	"fmt"
	"testing"
)

// Guards against a code that is listed twice, out of order or without a
// SQLSTATE, which would make the documented table ambiguous.
func TestTableIsOrderedAndComplete(t *testing.T) {
	var last Code
	for _, i := range Table() {
		if i.Code <= last {
			t.Errorf("code %v follows %v", i.Code, last)
		}
		last = i.Code
		if len(i.SQLState) != 5 || i.Name == "" || i.Meaning == "" {
			t.Errorf("code %v is incomplete: %+v", i.Code, i)
		}
	}
}

// Guards against losing the code or the cause when an error is wrapped.
func TestFromFindsWrappedCode(t *testing.T) {
	cause := errors.New("connection reset")
	err := fmt.Errorf("execute: %w", Errorf(OutcomeUnknown, "send: %w", cause))
	if got := From(err); got.Code != OutcomeUnknown || got.Ran != RanUnknown {
		t.Fatalf("From = %+v", got)
	}
	if !errors.Is(err, cause) {
		t.Fatal("the error does not wrap its cause")
	}
}
