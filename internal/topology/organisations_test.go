package topology

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"geraniumbeam/internal/organisation"
)

const testKey = "k-71c0d5"

func testOrganisations() []organisation.Organisation {
	return []organisation.Organisation{
		{Name: "acme", Keys: []organisation.Digest{organisation.DigestOf(testKey)}, Rate: 3, Burst: 5, Limited: true},
		{Name: "bolt", Keys: []organisation.Digest{organisation.DigestOf(testKey)}},
	}
}

// Guards against a directory that is built again with each registration, of which one
// changes every second, and against one that outlives its configuration.
func TestDirectoryIsBuiltOncePerConfiguration(t *testing.T) {
	top := New()
	if top.Snapshot().Directory != nil {
		t.Error("a directory without a configuration")
	}
	top.Apply(Configuration{Version: 1, Organisations: testOrganisations()})
	first := top.Snapshot().Directory
	if o, ok := first.ByKey(organisation.DigestOf(testKey)); !ok || o.Name != "acme" {
		t.Errorf("the key is that of %+v", o)
	}
	top.Register(db("db-1"), 0)
	top.Replace(nil, 1, 1)
	top.Expire(RemovalDelay + 2)
	if top.Snapshot().Directory != first {
		t.Error("the directory was built again")
	}
	if top.Apply(Configuration{Version: 1}) || top.Snapshot().Directory != first {
		t.Error("an older configuration is in force")
	}
	top.Apply(Configuration{Version: 2, Organisations: []organisation.Organisation{}})
	if d := top.Snapshot().Directory; d == nil || d == first {
		t.Error("the directory of an earlier configuration is in use, or keys are not checked")
	}
	top.Apply(Configuration{Version: 3})
	if top.Snapshot().Directory != nil {
		t.Error("the directory of an earlier configuration is in use")
	}
}

// Guards against an instance that loses the organisations, or whether there are any, when
// it gets the configuration from another one, and against keys in what is exchanged.
func TestOrganisationsSurviveTheExchange(t *testing.T) {
	for name, all := range map[string][]organisation.Organisation{"none in force": nil, "empty list": {}, "two": testOrganisations()} {
		t.Run(name, func(t *testing.T) {
			source, sink := newTestSyncer(), newTestSyncer()
			source.source.organisations = all
			encoded, err := json.Marshal(source.listed(t))
			if err != nil {
				t.Fatal(err)
			}
			if strings.Contains(string(encoded), testKey) {
				t.Errorf("the key is part of %s", encoded)
			}
			var l Listing
			if err := json.Unmarshal(encoded, &l); err != nil {
				t.Fatal(err)
			}
			sink.Adopt(&l, sink.Now())
			snap := sink.Topology.Snapshot()
			if (snap.Organisations == nil) != (all == nil) || (snap.Directory == nil) != (all == nil) || len(snap.Organisations) != len(all) {
				t.Fatalf("organisations %#v, want %#v", snap.Organisations, all)
			}
			for i, o := range snap.Organisations {
				if o.Name != all[i].Name || o.Rate != all[i].Rate || o.Burst != all[i].Burst || o.Limited != all[i].Limited || o.Keys[0] != all[i].Keys[0] {
					t.Errorf("got %+v, want %+v", o, all[i])
				}
			}
		})
	}
}

// Guards against mistakes of operators that no log line shows, against a line for each of
// many, and against a report that is repeated with every list.
func TestOddOrganisationsAreReported(t *testing.T) {
	s := newTestSyncer()
	var out bytes.Buffer
	s.Log = zerolog.New(&out)
	s.source.organisations = testOrganisations()
	for range 30 {
		s.source.organisations = append(s.source.organisations, organisation.Organisation{Name: "empty"})
	}
	s.source.damaged = []error{errors.New("invalid organisation: entry 4")}
	s.listed(t)
	text := out.String()
	for _, want := range []string{`"organisation":"acme","other_organisation":"bolt"`, `"organisation":"empty"`, "further organisations", "entry 4", `"organisations":32`} {
		if !strings.Contains(text, want) {
			t.Errorf("%s is not part of %s", want, text)
		}
	}
	if n := strings.Count(text, "\n"); n > maxReportedFindings+10 {
		t.Errorf("%d lines", n)
	}
	if strings.Contains(text, testKey) {
		t.Error("the key is part of the log")
	}
	out.Reset()
	s.listed(t)
	if strings.Contains(out.String(), "organisation") {
		t.Errorf("reported again: %s", out.String())
	}
}

// Guards against an instance that passes on an older configuration than it uses, together
// with newer databases: one that has just started would accept keys that were revoked.
func TestOlderConfigurationIsNotPassedOn(t *testing.T) {
	for name, all := range map[string][]organisation.Organisation{"organisations": testOrganisations(), "none": nil} {
		t.Run(name, func(t *testing.T) {
			s := newTestSyncer()
			s.source.version, s.source.organisations = 9, all
			content := s.listed(t).Content
			older := Listing{Configuration: Configuration{Version: 8, Organisations: all}, Databases: []Database{db("db-2")}, DatabasesRevision: rev(20), Content: content + 1}
			s.Adopt(&older, s.Now())
			l, _ := s.Listing()
			want := uint64(9)
			if all == nil {
				want = 8 // as it was received
			}
			if l.Configuration.Version != want || l.Databases[0].ID != "db-2" || (l.Content != older.Content) != (all != nil) || older.Configuration.Version != 8 {
				t.Errorf("listing %+v, want configuration %d", l, want)
			}
			if v := s.Topology.Snapshot().Version; v != 9 {
				t.Errorf("version %d is in force", v)
			}
		})
	}
}
