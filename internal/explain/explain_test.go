package explain

import (
	"strings"
	"testing"
)

const sampleLog = `0.1 a {"level":"info","instance":"a","part":"primacy","service":"ledger","token":2,"phase":"replacing","primary":"db-1","term":1,"time":"2026-12-04T07:00:01.000Z","message":"The record of a service changed."}
noise
{"level":"info","instance":"b","part":"proxy","id":"r1","session":4,"kind":"write","route":"confirm","service":"ledger","attempts":1,"timeouts":1,"took_ms":801,"version":7,"reason":"sent and not answered","error":"database db-1 did not answer","ran":"unknown","database":"db-1","primary":true,"believed_primary":"db-1","term":1,"token":1,"phase":"serving","belief_age_ms":120,"code":"GB4001","time":"2026-12-04T07:00:00.500Z","message":"A request ended."}
{"level":"info","instance":"b","part":"proxy","id":"r2","kind":"read","route":"browse","service":"ledger","attempts":0,"took_ms":800,"reason":"no usable database","error":"no database of service ledger can be used now","ran":"no","believed_primary":"db-1","phase":"replacing","belief_age_ms":80,"organisation":"acme","code":"GB2005","time":"2026-12-04T07:00:01.500Z","message":"A request ended."}
{"level":"info","instance":"b","part":"proxy","id":"r3","kind":"read","route":"browse","service":"other","attempts":1,"took_ms":700,"wait_for":"3.9","database":"db-7","owner":"d","in_use":2,"queued":9,"usual_ms":40,"code":"ok","time":"2026-12-04T07:00:30.500Z","message":"A request ended."}
`

// Guards against a request whose outcome and cause are not found by its id.
func TestRequestReportsCause(t *testing.T) {
	lines, skipped, err := Read(strings.NewReader(sampleLog))
	if err != nil || skipped != 1 || len(lines) != 4 {
		t.Fatalf("read %d lines, skipped %d, %v", len(lines), skipped, err)
	}
	for _, c := range []struct {
		id   string
		want []string
	}{
		{"r1", []string{"GB4001 (run: unknown)", "sent and not answered", "confirmed 120 ms before", "is replacing"}},
		{"r2", []string{"GB2005 (run: no)", "no usable database", "phase replacing", "-0.5 s a", "Organisation: acme."}},
		{"r3", []string{"was served after 700 ms", "9 requests queued", "through instance d", "position 3.9", "around that time:\n  none."}},
	} {
		var out strings.Builder
		if !Request(&out, lines, c.id) {
			t.Errorf("request %s is not found", c.id)
		}
		for _, w := range c.want {
			if !strings.Contains(out.String(), w) {
				t.Errorf("%s: %q is missing in\n%s", c.id, w, out.String())
			}
		}
	}
	var out strings.Builder
	if Request(&out, lines, "none") {
		t.Error("a request without a log line is reported as found")
	}
}

// Guards against a timeline that lists requests, which outnumber the events.
func TestTimelineOmitsRequests(t *testing.T) {
	lines, _, err := Read(strings.NewReader(sampleLog))
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	Timeline(&out, lines, "ledger")
	if n := strings.Count(out.String(), "\n"); n != 1 {
		t.Errorf("%d lines:\n%s", n, out.String())
	}
}
