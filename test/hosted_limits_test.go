package integration

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"geraniumbeam/internal/standin/hosted"
)

const (
	limitWindow  = 5 * time.Second
	limitOverage = 0.1
	limitSlack   = 20
	limitRate    = 60
	limitBurst   = 30
)

// limitedCaller sends operations of an organisation to the instances in turn.
type limitedCaller struct {
	h        *hostedCluster
	key      string
	rate     float64
	mu       sync.Mutex
	conns    map[int][]*hostedConn // idle ones, by instance
	dead     map[int]bool
	served   []time.Time
	refused  int
	otherEnd int // answers with another error, and connections that ended
}

// send sends operations for d.
func (c *limitedCaller) send(d time.Duration) {
	var wg sync.WaitGroup
	next := time.Now()
	for i, end := 0, next.Add(d); next.Before(end); i++ {
		next = next.Add(time.Duration(float64(time.Second) / c.rate))
		time.Sleep(time.Until(next))
		wg.Go(func() { c.operate(i) })
	}
	wg.Wait()
}

func (c *limitedCaller) operate(n int) {
	c.mu.Lock()
	i := n % len(c.h.instances)
	for c.dead[i] {
		i = (i + 1) % len(c.h.instances)
	}
	var conn *hostedConn
	if idle := c.conns[i]; len(idle) > 0 {
		conn, c.conns[i] = idle[len(idle)-1], idle[:len(idle)-1]
	}
	c.mu.Unlock()
	if conn == nil {
		var err error
		if conn, _, err = startWithKey(c.h.callerAddresses[i], routePrimary+"svc0", c.key); err != nil || conn == nil {
			c.count("lost", nil, i)
			return
		}
	}
	a, err := conn.query(fmt.Sprintf("%s-%d", c.key, n), "READ k")
	if err != nil {
		conn.close()
		c.count("lost", nil, i)
		return
	}
	c.count(a.code, conn, i)
}

func (c *limitedCaller) count(code string, conn *hostedConn, i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch code {
	case "":
		c.served = append(c.served, time.Now())
	case "THROTTLED":
		c.refused++
	default:
		c.otherEnd++
	}
	if conn != nil {
		c.conns[i] = append(c.conns[i], conn)
	}
}

func (c *limitedCaller) stopUsing(i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dead[i] = true
}

// mostInWindow returns the highest number of operations served in one window.
func (c *limitedCaller) mostInWindow() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	served := slices.Clone(c.served)
	slices.SortFunc(served, time.Time.Compare)
	most, first := 0, 0
	for i, end := range served {
		for !served[first].After(end.Add(-limitWindow)) {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against an organisation that gets more than its limit by sending to all
// instances, also while one of them is killed, and against refusals of one that stays
// below its limit.
func TestHostedOrganisationLimits(t *testing.T) {
	h := &hostedCluster{t: t, settings: fmt.Sprintf("organisation_limits: {window: %v, overage: %v, slack: %d}\n", limitWindow, limitOverage, limitSlack)}
	h.start(3, 1, 30)
	rate, burst := float64(limitRate), float64(limitBurst)
	h.organise(8, hosted.Organisation{Name: "acme", Keys: []string{acmeKey}, Rate: &rate, Burst: &burst},
		hosted.Organisation{Name: "bolt", Keys: []string{boltKey}, Rate: &rate, Burst: &burst})
	h.waitStartCode(routePrimary+"svc0", acmeKey, "")
	t.Cleanup(func() {
		if t.Failed() {
			for i, p := range h.instances {
				t.Logf("instance %d: %s\n%s", i, h.metrics(i), p.log.tail(6000))
			}
		}
	})
	coordinator := -1
	waitFor(t, 30*time.Second, "an instance divides the limits", func() bool {
		coordinator = slices.IndexFunc(h.instanceNumbers(), func(i int) bool { return strings.Contains(h.metrics(i), "geraniumbeam_limit_coordinator_open 1") })
		return coordinator >= 0
	})
	time.Sleep(limitWindow) // lets the permits of the organisations build up
	above := &limitedCaller{h: h, key: acmeKey, rate: 5 * limitRate, conns: make(map[int][]*hostedConn), dead: make(map[int]bool)}
	below := &limitedCaller{h: h, key: boltKey, rate: 0.6 * limitRate, conns: make(map[int][]*hostedConn), dead: make(map[int]bool)}
	const half = 7 * time.Second
	var wg sync.WaitGroup
	for _, c := range []*limitedCaller{above, below} {
		wg.Go(func() { c.send(2 * half) })
	}
	time.Sleep(half)
	killed := (coordinator + 1) % 3
	above.stopUsing(killed)
	below.stopUsing(killed)
	time.Sleep(500 * time.Millisecond) // operations under way end
	h.instances[killed].kill(t)
	wg.Wait()

	bound := (limitRate*limitWindow.Seconds()+limitBurst)*(1+limitOverage) + limitSlack
	t.Logf("5 times the limit: %d served, %d refused, %d failed, at most %d in a window (bound %.0f)", len(above.served), above.refused, above.otherEnd, above.mostInWindow(), bound)
	t.Logf("0.6 of the limit: %d served, %d refused, %d failed", len(below.served), below.refused, below.otherEnd)
	if most := above.mostInWindow(); float64(most) > bound {
		t.Errorf("%d operations were served in a window of %v, bound %.0f", most, limitWindow, bound)
	}
	if above.refused == 0 || len(above.served) < limitRate*int(half.Seconds()) {
		t.Errorf("%d operations were served and %d refused above the limit", len(above.served), above.refused)
	}
	if below.refused > 0 || len(below.served) == 0 {
		t.Errorf("%d operations were served and %d refused below the limit", len(below.served), below.refused)
	}
}

func (h *hostedCluster) instanceNumbers() []int {
	all := make([]int, len(h.instances))
	for i := range all {
		all[i] = i
	}
	return all
}
