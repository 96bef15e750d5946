package main

import (
	"bytes"
	_ "embed" // settings-variable.txt
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"geraniumbeam/internal/standin/hosted"
)

// Sizes and bounds of the site lantern-huts.
const (
	instanceCount  = 7
	dbSlots        = 2
	maxConnections = 16
	replicaLag     = 8 * time.Millisecond
	promotionTime  = time.Second
	heartbeat      = 1200 * time.Millisecond
	storeLatency   = 4 * time.Millisecond
	drainTime      = 7 * time.Second
	service        = "ledger"
	routePrimary   = "confirm"
	routeBounded   = "browse"
	routeSession   = "adjust"
	txIdle         = 3 * time.Second
	boundedAge     = 1500 * time.Millisecond
)

// settingsVariable is the environment variable that holds the path of the settings file.
//
//go:embed settings-variable.txt
var settingsVariable string

var zones = []string{"z0", "z1", "z2", "z3"}

// recorder writes what was sent, answered and run to record.txt.
type recorder struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{f: f, start: time.Now()}, nil
}

// printf adds a line with the time since the start of the case.
func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// storeCall is a call that an instance sends to the store.
type storeCall struct {
	instance *instance
	request  *http.Request
	body     []byte
}

// cluster is a deployment of instance processes with stand-ins of the store, the
// databases and the promotion call.
type cluster struct {
	rec       *recorder
	dir       string
	binary    string
	store     *hosted.Store
	group     *hosted.Group
	storeAt   string
	promoteAt string
	instances []*instance
	extra     []*instance // machines that were removed
	closers   []func()
	ports     map[string]bool // addresses given to instances
	down      sync.Map        // ids of the crashed databases

	mu sync.Mutex
	// onAnswer is called when the store has carried out a call and before its answer
	// is passed on.
	onAnswer func(storeCall)
}

// instance is one process of the system.
type instance struct {
	c       *cluster
	name    string
	zone    string
	callers string
	ready   string
	inner   string
	store   string

	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{}
	started time.Time
}

// Ports of the instances are below those that the kernel gives to connections, so that none
// is taken while an instance is down.
const (
	firstPort = 12000
	lastPort  = 31999
)

// freeAddress returns a loopback address whose port is free and was not returned before.
func (c *cluster) freeAddress() (string, error) {
	for range lastPort - firstPort {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort+1))
		if c.ports[address] {
			continue
		}
		l, err := net.Listen("tcp4", address)
		if err != nil {
			continue
		}
		_ = l.Close() // the instance listens there next
		c.ports[address] = true
		return address, nil
	}
	return "", errors.New("no port is free")
}

// newCluster starts the stand-ins and the instances, and waits until each instance serves
// a write.
func newCluster(rec *recorder, binary string) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	c := &cluster{rec: rec, dir: dir, binary: binary, store: hosted.NewStore(), ports: make(map[string]bool)}
	c.closers = append(c.closers, func() { _ = os.RemoveAll(dir) }, c.store.Close)
	c.group, err = hosted.NewGroup(hosted.GroupConfig{
		Service: service, Databases: 3, Slots: dbSlots, MaxConnections: maxConnections, ReplicationLag: replicaLag,
		ServiceTime: 3 * time.Millisecond, PromotionDelay: promotionTime,
	}, c.store)
	if err != nil {
		return c, err
	}
	c.configure(7)
	var stop func()
	if c.promoteAt, stop, err = hosted.ListenPromotions(c.group); err != nil {
		return c, err
	}
	c.closers = append(c.closers, stop)
	if c.storeAt, err = c.store.Listen("store"); err != nil {
		return c, err
	}
	for n := range instanceCount {
		i, err := c.newInstance(n, c.storeAt)
		if err != nil {
			return c, err
		}
		c.instances = append(c.instances, i)
		if err := i.launch(); err != nil {
			return c, err
		}
	}
	for _, i := range c.instances {
		if err := i.awaitServing(20 * time.Second); err != nil {
			return c, err
		}
	}
	return c, nil
}

func (c *cluster) configure(version int) {
	var routes []hosted.Route
	for name, kind := range map[string]string{routePrimary: "primary", routeBounded: "bounded", routeSession: "read_your_writes"} {
		routes = append(routes, hosted.Route{Database: name, Type: kind, Service: service, Timeout: 800 * time.Millisecond, MaxAge: boundedAge})
	}
	c.store.Configure(version, routes, map[string]int{service: maxConnections}, txIdle)
}

func (c *cluster) newInstance(n int, storeAt string) (*instance, error) {
	i := &instance{c: c, name: fmt.Sprintf("frontend-%d", n), zone: zones[n%len(zones)]}
	for _, a := range []*string{&i.callers, &i.ready, &i.inner} {
		var err error
		if *a, err = c.freeAddress(); err != nil {
			return nil, err
		}
	}
	return i, i.listenStore(storeAt)
}

// listenStore starts the instance's way to the store, which delays answers by the latency
// of the site and shows them to onAnswer.
func (i *instance) listenStore(storeAt string) error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	i.store = l.Addr().String()
	forward := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: storeAt})
	forward.FlushInterval = -1
	forward.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	forward.ErrorLog = discardLog
	forward.ModifyResponse = func(r *http.Response) error {
		body, _ := r.Request.Context().Value(bodyKey{}).([]byte)
		if !r.Request.URL.Query().Has("watch") {
			time.Sleep(storeLatency)
		}
		i.c.mu.Lock()
		f := i.c.onAnswer
		i.c.mu.Unlock()
		if f != nil {
			f(storeCall{i, r.Request, body})
		}
		return nil
	}
	srv := &http.Server{ErrorLog: discardLog, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		forward.ServeHTTP(w, r.WithContext(withBody(r.Context(), body)))
	})}
	go func() { _ = srv.Serve(l) }() // returns after Close
	i.c.closers = append(i.c.closers, func() { _ = srv.Close() })
	return nil
}

func (i *instance) settings() string {
	return fmt.Sprintf(`instance: %q
data_centre: %q
listen_callers: %q
listen_ready: %q
listen_inner: %q
store: %q
promotions: %q
memory_mb: 284
max_open_files: 4300
grace_period: 6s
drain_time: %dms
regions:
  "z0": "north"
  "z1": "north"
  "z2": "north"
  "z3": "north"
adaptive_pace: auto
`, i.name, i.zone, i.callers, i.ready, i.inner, i.store, i.c.promoteAt, drainTime.Milliseconds())
}

// launch starts the process with the command of the deploy file.
func (i *instance) launch() error {
	path := filepath.Join(i.c.dir, i.name+".yaml")
	if err := os.WriteFile(path, []byte(i.settings()), 0o600); err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(i.c.dir, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(i.c.binary, "run")
	cmd.Env = append(os.Environ(), strings.TrimSpace(settingsVariable)+"="+path)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait() // how it ended is of no interest
		_ = logFile.Close()
		close(done)
	}()
	i.mu.Lock()
	i.cmd, i.done, i.started = cmd, done, time.Now()
	i.mu.Unlock()
	i.c.rec.printf("%s started, process %d", i.name, cmd.Process.Pid)
	return nil
}

func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	cmd := i.cmd
	i.mu.Unlock()
	i.c.rec.printf("%s gets %s", i.name, s)
	_ = cmd.Process.Signal(s) // fails only if the process has ended
}

// kill ends the process and waits for its end.
func (i *instance) kill() {
	i.signal(syscall.SIGKILL)
	i.mu.Lock()
	done := i.done
	i.mu.Unlock()
	<-done
}

func (i *instance) awaitServing(within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		s, err := openSession(i.callers, routePrimary)
		if err != nil {
			continue
		}
		a, err := s.query(nextID(), "WRITE ready x")
		s.close()
		if err == nil && a.code == "" {
			return nil
		}
	}
	return fmt.Errorf("%s does not serve", i.name)
}

// close ends all processes and stand-ins. With KEEP set the logs of the processes stay.
func (c *cluster) close() {
	for _, i := range append(c.instances, c.extra...) {
		i.mu.Lock()
		cmd := i.cmd
		i.mu.Unlock()
		if cmd == nil {
			continue
		}
		_ = cmd.Process.Signal(syscall.SIGCONT) // it may be stopped
		i.kill()
	}
	if to := os.Getenv("KEEP"); to != "" {
		_ = exec.Command("cp", "-r", c.dir, to).Run()
	}
	for n := len(c.closers) - 1; n >= 0; n-- {
		c.closers[n]()
	}
}

// setOnAnswer sets the function that sees the answers of the store.
func (c *cluster) setOnAnswer(f func(storeCall)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onAnswer = f
}

// recordOf decodes the record of a service in a call that writes one.
func recordOf(call storeCall) (phase, candidate string, token uint64, ok bool) {
	if call.request.Method != http.MethodPut || !strings.Contains(call.request.URL.Path, "geraniumbeam-primaries/") {
		return "", "", 0, false
	}
	var o struct {
		Spec struct {
			Phase, Candidate string
			Token            uint64
		}
	}
	if json.Unmarshal(call.body, &o) != nil {
		return "", "", 0, false
	}
	return o.Spec.Phase, o.Spec.Candidate, o.Spec.Token, true
}

var errNoPrimary = errors.New("the group has no primary")

// crash ends a database as a crash does. Its registration is removed after three heartbeats.
func (c *cluster) crash(d *hosted.Database) {
	c.rec.printf("database %s crashes", d.ID())
	c.down.Store(d.ID(), true)
	d.Crash()
	time.AfterFunc(3*heartbeat, func() {
		if _, down := c.down.Load(d.ID()); down {
			c.store.Remove("servers", d.ID())
		}
	})
}

// restart starts a crashed database again, with its log.
func (c *cluster) restart(d *hosted.Database) {
	c.rec.printf("database %s starts again", d.ID())
	c.down.Delete(d.ID())
	if err := d.Restart(); err != nil {
		c.rec.printf("database %s does not start: %v", d.ID(), err)
	}
}

// recordRuns writes the statements that the databases have run.
func (c *cluster) recordRuns() {
	for _, r := range c.group.Runs() {
		c.rec.printf("%s ran %s %s at %.3f, %d commits", r.Database, r.ID, r.Text, r.At.Sub(c.rec.start).Seconds(), len(r.Committed))
	}
}
