package integration

import (
	"regexp"
	"strings"
	"testing"
	"time"
)

// Guards against a service that depends on detours without a sign of it in metrics and
// logs, against the replacement of a primary that most instances reach, and against
// detours that are still shown, or in use, after the cut.
func TestHostedDetourIsVisible(t *testing.T) {
	h := startHosted(t, 3, 1)
	hist := &history{}
	stop := runCallers(h, hist, 12, 4)
	time.Sleep(time.Second) // time for the instances to discover each other
	primary := h.groups[0].Primary()
	primary.SetUnresponsiveTo("inst-1", true)
	shown := regexp.MustCompile(`geraniumbeam_primary_detour_age_microseconds\{service="svc0",through="inst-[02]"\} [0-9]+\n`)
	waitFor(t, 30*time.Second, "inst-1 shows the detour", func() bool { return shown.MatchString(h.metrics(1)) })
	if want := `geraniumbeam_primary_lost_microseconds{service="svc0"} 0`; strings.Contains(h.metrics(1), want) || !strings.Contains(h.metrics(0), want) {
		t.Errorf("inst-1 does not show the loss, or inst-0 shows one:\n%s\n%s", h.metrics(1), h.metrics(0))
	}
	logged := regexp.MustCompile(`"lost_ms":[0-9.]+,"answer_age_ms":[0-9.]+,"detour":"inst-[02]","detour_age_ms":[0-9.]+,.*"message":"This instance has lost the primary."`)
	waitFor(t, 30*time.Second, "the log names the detour", func() bool { return logged.MatchString(h.instances[1].log.tail(maxLogBytes)) })
	time.Sleep(4 * time.Second) // longer than a detour delays a suspicion
	if h.groups[0].Primary() != primary {
		t.Error("a primary that most instances reach was replaced")
	}
	primary.SetUnresponsiveTo("inst-1", false)
	waitFor(t, 30*time.Second, "inst-1 reaches the primary again", func() bool {
		body := h.metrics(1)
		return strings.Contains(body, `geraniumbeam_primary_lost_microseconds{service="svc0"} 0`) && !shown.MatchString(body)
	})
	h.waitAllServing()
	stop()
	h.report(hist)
}
