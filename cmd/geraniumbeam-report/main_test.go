package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"geraniumbeam/internal/cli"
	"geraniumbeam/internal/metrics"
	"geraniumbeam/internal/report"
)

// Guards against an exit code of 0 although an instance did not answer or the
// command line is invalid.
func TestExitCodes(t *testing.T) {
	reg := metrics.NewRegistry("i1", "dc1")
	reg.Class("svc", "c").Requests.Add(10)
	reg.Class("svc", "c").WithinTarget.Add(9)
	reg.Class("svc", "c").AddMissed(metrics.ReasonShed)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(reg.Vars.String()))
	}))
	defer srv.Close()
	up := strings.TrimPrefix(srv.URL, "http://")
	dir := t.TempDir()
	list := filepath.Join(dir, "addresses")
	if err := os.WriteFile(list, []byte("# instances\n"+up+" # first\n\n127.0.0.1:1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	saved := filepath.Join(dir, "samples")
	for _, c := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"--address", up, "--interval", "10ms", "--save", saved}, 0, "svc.c"},
		{[]string{"--saved", saved, "--plot", filepath.Join(dir, "p.svg")}, 0, "shed 100 %"},
		{[]string{"--address-file", list, "--interval", "10ms"}, exitUnreachable, "no answer from 127.0.0.1:1"},
		{nil, cli.ExitUsage, "no instance is given"},
		{[]string{"--address", up, "--samples", "1"}, cli.ExitUsage, "--samples"},
		{[]string{"--address", up, "--plot", "x.gif"}, cli.ExitUsage, ".svg or .png"},
		{[]string{"--bogus"}, cli.ExitUsage, "bogus"},
	} {
		var out bytes.Buffer
		if code := run(context.Background(), c.args, &out, &out); code != c.code || !strings.Contains(out.String(), c.want) {
			t.Errorf("%v: exit code %d, want %d; output:\n%s", c.args, code, c.code, out.String())
		}
	}
	var out bytes.Buffer
	run(context.Background(), []string{"--saved", saved, "--json"}, &out, &out)
	var r report.Report
	if err := json.Unmarshal(out.Bytes(), &r); err != nil || len(r.Budgets) != 2 || r.Budgets[0].BadRequests != 1 {
		t.Errorf("JSON output: %v\n%s", err, out.String())
	}
}
