package session

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"geraniumbeam/internal/backend"
	"geraniumbeam/internal/result"
)

const testKey = "0123456789abcdef"

// Guards against floors that decrease, that change from unknown to zero, or that
// stay known after an unknown outcome. Each block runs its commands on one session;
// "save" encodes a token that "adopt" resumes.
func TestFloors(t *testing.T) {
	var f Floors
	saved := ""
	k := NewKeys(testKey)
	datadriven.RunTest(t, "testdata/floors", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		for _, line := range strings.Split(d.Input, "\n") {
			var verb, group string
			var p backend.Position
			_, _ = fmt.Sscanf(line, "%s %s %d/%d", &verb, &group, &p.Term, &p.Offset)
			switch verb {
			case "new":
				f = Floors{}
			case "raise":
				fmt.Fprintf(&out, "changed=%v\n", f.Raise(group, p))
			case "lose":
				fmt.Fprintf(&out, "known=%v\n", f.Forget(group))
			case "save":
				saved = k.Encode(f)
			case "adopt":
				other, err := k.Decode(saved)
				if err != nil {
					t.Fatal(err)
				}
				f.Resume(other)
			}
		}
		for _, g := range f.Groups() {
			p, _ := f.Get(g)
			fmt.Fprintf(&out, "%s %d/%d\n", g, p.Term, p.Offset)
		}
		if out.Len() == 0 {
			return "all unknown\n"
		}
		return out.String()
	})
}

// Guards against a key rotation that invalidates open sessions, and against a
// removed key that is still accepted.
func TestKeyRotation(t *testing.T) {
	var f Floors
	f.Raise("g1", backend.Position{Term: 3, Offset: 9})
	token := NewKeys(testKey).Encode(f)
	if got, err := NewKeys("another key 0000", testKey).Decode(token); err != nil {
		t.Errorf("token signed with the previous key: %v", err)
	} else if p, ok := got.Get("g1"); !ok || p.Offset != 9 {
		t.Errorf("floor %v %v", p, ok)
	}
	if _, err := NewKeys("another key 0000").Decode(token); !result.Is(err, result.BadToken) {
		t.Errorf("token signed with a removed key: %v", err)
	}
}

// Guards against a token that is accepted after characters were changed, removed or
// inserted.
func TestTamperedToken(t *testing.T) {
	var f Floors
	f.Raise("g1", backend.Position{Term: 3, Offset: 9})
	k := NewKeys(testKey)
	token := k.Encode(f)
	for i := range token {
		changed := []byte(token)
		changed[i] ^= 1
		for _, v := range []string{string(changed), token[:i], token[:i] + "AAAA" + token[i:]} {
			if _, err := k.Decode(v); !result.Is(err, result.BadToken) {
				t.Fatalf("token %q: %v", v, err)
			}
		}
	}
}

// Guards against a decoder that panics or uses unbounded memory on a caller's input,
// and against floors that change when they are encoded and decoded. decodeBody is
// also called directly, as random tokens do not pass the verification.
func FuzzDecode(f *testing.F) {
	var one, two Floors
	one.Raise("g1", backend.Position{Term: 1, Offset: 2})
	two.Raise("g1", backend.Position{Term: 1 << 40, Offset: 1 << 60})
	two.Raise("postage-2", backend.Position{})
	k := NewKeys(testKey)
	for _, v := range []Floors{{}, one, two} {
		f.Add(k.Encode(v), []byte{tokenVersion, 1, 2, 'g', '1', 3, 4})
	}
	f.Add("", []byte{tokenVersion, 0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Fuzz(func(t *testing.T, token string, body []byte) {
		if got, err := k.Decode(token); err == nil && len(got.positions) > maxGroups {
			t.Fatalf("%d groups", len(got.positions))
		}
		if len(body) == 0 {
			return
		}
		got, err := decodeBody(body[1:])
		if err != nil {
			if !result.Is(err, result.BadToken) {
				t.Fatalf("error without the code of an invalid token: %v", err)
			}
			return
		}
		again, err := k.Decode(k.Encode(got))
		if err != nil || fmt.Sprint(again.positions) != fmt.Sprint(got.positions) {
			t.Fatalf("%v encodes to %v: %v", got.positions, again.positions, err)
		}
	})
}
