package organisation

import (
	"encoding/json"
	"slices"
	"testing"
)

func keys(texts ...string) []Digest {
	var all []Digest
	for _, t := range texts {
		all = append(all, DigestOf(t))
	}
	return all
}

// Guards against a key that is found under another organisation, or after it was removed,
// and against an order of entries that decides differently on two instances.
func TestDirectory(t *testing.T) {
	d := NewDirectory([]Organisation{{Name: "acme", Keys: keys("a", "shared")}, {Name: "bolt", Keys: keys("b", "shared")}, {Name: "acme", Keys: keys("c"), Limited: true}})
	for key, want := range map[string]string{"a": "acme", "shared": "acme", "b": "bolt", "c": "acme"} {
		if o, ok := d.ByKey(DigestOf(key)); !ok || o.Name != want {
			t.Errorf("key %s has %+v, want %s", key, o, want)
		}
	}
	for _, key := range []string{"", "d", "A"} {
		if o, ok := d.ByKey(DigestOf(key)); ok {
			t.Errorf("key %q has %+v", key, o)
		}
	}
	if o, ok := d.ByName("acme"); !ok || o.Limited {
		t.Errorf("acme is %+v, want the first entry", o)
	}
	if _, ok := d.ByName("crane"); ok {
		t.Error("an unknown name is found")
	}
}

// Guards against a digest that changes on its way to another instance, or is decoded from
// a text of another length.
func TestDigestRoundTrip(t *testing.T) {
	want := DigestOf("k")
	encoded, err := json.Marshal(want)
	if err != nil || len(encoded) != 2*len(want)+2 {
		t.Fatalf("encoded as %s, error %v", encoded, err)
	}
	var got Digest
	if err := json.Unmarshal(encoded, &got); err != nil || got != want {
		t.Errorf("decoded %x, error %v", got, err)
	}
	for _, odd := range []string{`""`, `"00"`, string(encoded[:len(encoded)-1]) + `0"`, `"zz"`} {
		if json.Unmarshal([]byte(odd), &got) == nil {
			t.Errorf("%s is decoded", odd)
		}
	}
}

// Guards against a mistake of an operator that goes unnoticed, and against reports about
// correct organisations.
func TestCheck(t *testing.T) {
	got := Check([]Organisation{
		{Name: "acme", Keys: keys("a", "x", "y", "a"), Rate: 1, Limited: true},
		{Name: "bolt", Keys: keys("b", "x", "y")},
		{Name: "crane"},
		{Name: "dune", Keys: keys("d"), Limited: true, Burst: 5},
		{Name: "acme", Keys: keys("e", "a")},
	})
	want := []string{"acme/bolt", "crane/", "dune/", "acme/"}
	var seen []string
	for _, f := range got {
		seen = append(seen, f.Organisation+"/"+f.Other)
	}
	if !slices.Equal(seen, want) {
		t.Errorf("found %q, want %q: %+v", seen, want, got)
	}
}
