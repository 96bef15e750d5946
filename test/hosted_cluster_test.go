package integration

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"geraniumbeam/internal/standin/hosted"
)

// Routes of the hosted deployment. Each exists once for each service, whose name
// follows it.
const (
	routePrimary = "confirm" // reads see every acknowledged commit
	routeBounded = "browse"  // reads see commits older than boundedAge
	routeSession = "adjust"  // as routeBounded, and all commits of the session

	boundedAge = 1500 * time.Millisecond
)

// hostedCluster is a deployment of instance processes, with stand-ins for the store
// and the databases of the platform.
type hostedCluster struct {
	t               *testing.T
	store           *hosted.Store
	links           *links // nil if processes connect to each other without links
	groups          []*hosted.Group
	instances       []*process
	callerAddresses []string // one for each instance
	innerAddresses  []string // for peers and metrics, one for each instance
	settings        string   // lines that all instances have in their settings besides the usual ones
}

func startHosted(t *testing.T, instances, services int) *hostedCluster {
	t.Helper()
	return startHostedWithLimit(t, instances, services, 4*instances)
}

// startHostedWithLimit starts a deployment whose databases accept at most limit
// connections each.
func startHostedWithLimit(t *testing.T, instances, services, limit int) *hostedCluster {
	t.Helper()
	return startHostedWithLinks(t, nil, instances, services, limit)
}

// startHostedWithLinks starts a deployment with links to the databases and from each
// instance to the store, or without links if links is nil.
func startHostedWithLinks(t *testing.T, links *links, instances, services, limit int) *hostedCluster {
	t.Helper()
	return startHostedWithSettings(t, "", links, instances, services, limit)
}

// startHostedWithSettings starts a deployment whose instances have further lines in their
// settings.
func startHostedWithSettings(t *testing.T, settings string, links *links, instances, services, limit int) *hostedCluster {
	t.Helper()
	h := &hostedCluster{t: t, links: links, settings: settings}
	h.start(instances, services, limit)
	return h
}

// start starts the deployment.
func (h *hostedCluster) start(instances, services, limit int) {
	t := h.t
	t.Helper()
	h.store = hosted.NewStore()
	t.Cleanup(h.store.Close)
	var routes []hosted.Route
	limits := make(map[string]int)
	for i := range services {
		service := fmt.Sprintf("svc%d", i)
		g, err := hosted.NewGroup(hosted.GroupConfig{
			Service: service, Databases: 3, Slots: 2, MaxConnections: limit, AdvertisedAddress: h.linkTo, ReplicationLag: 8 * time.Millisecond,
			ServiceTime: 2 * time.Millisecond, PromotionDelay: 200 * time.Millisecond,
		}, h.store)
		if err != nil {
			t.Fatal(err)
		}
		h.groups = append(h.groups, g)
		limits[service] = limit
		routes = append(routes, routesOf(service)...)
	}
	h.store.Configure(7, routes, limits, 3*time.Second)
	promotions, stop, err := hosted.ListenPromotions(h.groups...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	for i := range instances {
		h.addInstance(i, promotions)
	}
	for i := range h.callerAddresses {
		h.waitServing(i)
	}
}

// routesOf returns the routes to a service.
func routesOf(service string) []hosted.Route {
	var routes []hosted.Route
	for route, kind := range map[string]string{routePrimary: "primary", routeBounded: "bounded", routeSession: "read_your_writes"} {
		routes = append(routes, hosted.Route{
			Database: route + service, Type: kind, Service: service, Timeout: 800 * time.Millisecond, MaxAge: boundedAge,
		})
	}
	return routes
}

// linkTo adds a link to a database or a store and returns the link's address. It
// returns the address unchanged if the deployment has no links.
func (h *hostedCluster) linkTo(id, address string) string {
	if h.links == nil {
		return address
	}
	return h.links.add(h.t, link{anyInstance, id}, address, 0)
}

// anyInstance is the start of links that all instances share.
const anyInstance = "instances"

func (h *hostedCluster) addInstance(i int, promotions string) {
	t := h.t
	name := fmt.Sprintf("inst-%d", i)
	store, err := h.store.Listen(name)
	if err != nil {
		t.Fatal(err)
	}
	store = h.linkTo("store of "+name, store)
	callers, inner := freeAddress(t), freeAddress(t)
	settings := fmt.Sprintf("instance: %s\ndata_centre: z%d\nlisten_callers: %s\nlisten_ready: %s\nlisten_inner: %s\nstore: %s\n"+
		"promotions: %s\nmemory_mb: 128\nmax_open_files: 1024\ngrace_period: 3s\ndrain_time: 7s\n",
		name, i%3, callers, freeAddress(t), inner, store, promotions) + h.settings
	path := filepath.Join(t.TempDir(), name+".yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	p := newProcess(name, "geraniumbeam-platformd", "run", "--settings", path)
	p.start(t)
	t.Cleanup(p.cleanup)
	h.instances = append(h.instances, p)
	h.callerAddresses = append(h.callerAddresses, callers)
	h.innerAddresses = append(h.innerAddresses, inner)
}

// waitServing waits until an instance serves a write of each service.
func (h *hostedCluster) waitServing(i int) {
	h.t.Helper()
	for s := range h.groups {
		for end := time.Now().Add(30 * time.Second); ; time.Sleep(10 * time.Millisecond) {
			if c, err := dialHosted(h.callerAddresses[i], fmt.Sprintf("%ssvc%d", routePrimary, s)); err == nil {
				a, err := c.query(fmt.Sprintf("ready-%d-%d-%d", i, s, time.Now().UnixNano()), "WRITE ready x")
				c.close()
				if err == nil && a.code == "" {
					break
				}
			}
			if time.Now().After(end) {
				h.t.Fatalf("instance %d does not serve within 30 s:\n%s", i, h.instances[i].log.tail(maxLogBytes))
			}
		}
	}
}

// hostedConn is a caller's connection to an instance.
type hostedConn struct {
	conn net.Conn
	r    *bufio.Reader
}

// hostedAnswer is the answer to one statement.
type hostedAnswer struct {
	rows  []string
	code  string // result code of the error, or ""
	state string
}

// answerTimeout bounds the wait for an answer. It is far above the timeout of the
// routes, so that only an instance that does not answer exceeds it.
const answerTimeout = 10 * time.Second

func dialWithoutStart(address string) (*hostedConn, error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &hostedConn{conn: conn, r: bufio.NewReader(conn)}, nil
}

func dialHosted(address, database string) (*hostedConn, error) {
	c, err := dialWithoutStart(address)
	if err != nil {
		return nil, err
	}
	if err := c.send("START " + database + " test"); err != nil {
		c.close()
		return nil, err
	}
	line, err := c.line()
	if err != nil || !strings.HasPrefix(line, "READY I") {
		c.close()
		return nil, fmt.Errorf("start a session on %s: got %q, %w", database, line, err)
	}
	return c, nil
}

func (c *hostedConn) close() { _ = c.conn.Close() }

func (c *hostedConn) send(line string) error {
	if err := c.conn.SetDeadline(time.Now().Add(answerTimeout)); err != nil {
		return err
	}
	_, err := c.conn.Write([]byte(line + "\r\n"))
	return err
}

func (c *hostedConn) line() (string, error) {
	line, err := c.r.ReadString('\n')
	return strings.TrimSuffix(line, "\r\n"), err
}

func (c *hostedConn) query(id, text string) (hostedAnswer, error) {
	if err := c.send("QUERY " + id + " " + text); err != nil {
		return hostedAnswer{}, err
	}
	var a hostedAnswer
	for {
		line, err := c.line()
		if err != nil {
			return a, err
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "DATAROW":
			a.rows = append(a.rows, rest)
		case "ERROR":
			a.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			return a, nil
		}
	}
}
