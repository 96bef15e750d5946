package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"geraniumbeam/internal/standin/hosted"
)

const (
	// program and settingsTemplate are those of the deploy file.
	program          = "target/geraniumbeam-platformd"
	settingsTemplate = "deploy/settings.yaml.tmpl"

	service = "ledger"

	// Bounds and limits of the site lantern-huts.
	gracePeriodSeconds = 6
	drainMillis        = 7000
	memoryMB           = 284
	maxOpenFiles       = 4300
	txIdle             = 3 * time.Second
	statementTimeout   = 800 * time.Millisecond
	maxStaleness       = 1500 * time.Millisecond

	servingTimeout = 30 * time.Second
)

// Names of the databases that callers ask for, one for each kind of route.
const (
	routePrimary = "confirm"
	routeSession = "adjust"
)

// instance is an instance process. It can be started again after it has exited.
type instance struct {
	name     string
	callers  string // address for callers
	inner    string // address for other instances
	settings string // path of the settings file
	cmd      *exec.Cmd
	exited   chan struct{}
}

// signal sends a signal to the process.
func (i *instance) signal(s os.Signal) error { return i.cmd.Process.Signal(s) }

// deployment is a set of instances with their store and one group of databases.
type deployment struct {
	rec       *record
	dir       string
	store     *hosted.Store
	group     *hosted.Group
	instances []*instance
	closers   []func()
}

// deploymentConfig configures a deployment.
type deploymentConfig struct {
	instances      int
	maxConnections int
	// advertise returns the address under which a database registers, given its id
	// and the address at which it listens. Nil: they are the same.
	advertise func(id, address string) string
}

// newDeployment returns a deployment with a store and no instances. close must be
// called also after an error.
func newDeployment(rec *record) (*deployment, error) {
	d := &deployment{rec: rec, store: hosted.NewStore()}
	d.closers = append(d.closers, d.store.Close)
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return d, err
	}
	d.dir = dir
	d.closers = append(d.closers, func() { _ = os.RemoveAll(dir) })
	return d, nil
}

// startDeployment starts a deployment with a group of databases and waits until all
// instances serve. close must be called also after an error.
func startDeployment(rec *record, cfg deploymentConfig) (*deployment, error) {
	d, err := newDeployment(rec)
	if err != nil {
		return d, err
	}
	d.group, err = hosted.NewGroup(hosted.GroupConfig{
		Service: service, Databases: 3, Slots: 2, MaxConnections: cfg.maxConnections, AdvertisedAddress: cfg.advertise,
		ReplicationLag: 8 * time.Millisecond, ServiceTime: 3 * time.Millisecond, PromotionDelay: time.Second,
	}, d.store)
	if err != nil {
		return d, err
	}
	d.configure(cfg.maxConnections, 0)
	promotions, stop, err := hosted.ListenPromotions(d.group)
	if err != nil {
		return d, err
	}
	d.closers = append(d.closers, stop)
	return d, d.startInstances(cfg.instances, promotions)
}

// configure stores the configuration, as the operator does.
func (d *deployment) configure(maxConnections, syncReplicas int) {
	route := func(database, kind string, priority int) map[string]any {
		return map[string]any{
			"name": "r-" + database, "database": database, "path_prefix": "/", "route_type": kind, "service": service, "priority": priority,
			"timeout_ms": statementTimeout.Milliseconds(), "target_latency_ms": 250, "max_attempts": 2,
			fieldMaxAge: maxStaleness.Milliseconds(),
		}
	}
	d.store.Put("config", "main", map[string]any{
		"version":  7,
		"routes":   []map[string]any{route(routePrimary, "primary", 0), route(routeSession, "read_your_writes", 1)},
		"services": []map[string]any{{"name": service, "max_connections": maxConnections, "sync_replicas": syncReplicas}},
		"limits":   map[string]any{fieldTxIdle: txIdle.Milliseconds()},
	})
}

// startInstances starts instances and waits until all of them serve.
func (d *deployment) startInstances(n int, promotions string) error {
	store, err := d.store.Listen("store")
	if err != nil {
		return err
	}
	for i := range n {
		if err := d.startInstance(i, store, promotions); err != nil {
			return err
		}
	}
	for _, i := range d.instances {
		if err := awaitServing(i.callers); err != nil {
			return fmt.Errorf("%s: %w", i.name, err)
		}
	}
	return nil
}

// close kills the instances that still run and stops the stand-ins.
func (d *deployment) close() {
	for _, i := range d.instances {
		_ = i.signal(syscall.SIGKILL) // fails only if the process has exited
		<-i.exited
	}
	for _, c := range d.closers {
		c()
	}
}

func (d *deployment) startInstance(n int, store, promotions string) error {
	name := fmt.Sprintf("frontend-%d", n)
	callers, err := freeAddress()
	if err != nil {
		return err
	}
	ready, err := freeAddress()
	if err != nil {
		return err
	}
	inner, err := freeAddress()
	if err != nil {
		return err
	}
	ip, port, err := net.SplitHostPort(inner)
	if err != nil {
		return err
	}
	template, err := os.ReadFile(settingsTemplate)
	if err != nil {
		return err
	}
	quote := func(s string) string { return fmt.Sprintf("%q", s) }
	settings := strings.NewReplacer(
		"{{node_name|json}}", quote(name), "{{zone|json}}", quote(fmt.Sprintf("z%d", n%3)),
		"{{listen_addresses.frontend|json}}", quote(callers), "{{listen_addresses.ready|json}}", quote(ready),
		"{{ip_address}}", ip, "{{internal_port_range.0}}", port,
		"{{platform.address|json}}", quote(store), "{{cloud_api.address|json}}", quote(promotions),
		"{{limits.memory_mb}}", fmt.Sprint(memoryMB), "{{limits.max_open_files}}", fmt.Sprint(maxOpenFiles),
		"{{bounds.grace_period_s}}", fmt.Sprint(gracePeriodSeconds), "{{bounds.drain_ms}}", fmt.Sprint(drainMillis),
	).Replace(string(template))
	if strings.Contains(settings, "{{") {
		return fmt.Errorf("%s holds a placeholder that this program does not know", settingsTemplate)
	}
	i := &instance{name: name, callers: callers, inner: inner, settings: filepath.Join(d.dir, name+".yaml")}
	if err := os.WriteFile(i.settings, []byte(settings), 0o600); err != nil {
		return err
	}
	if err := d.launch(i); err != nil {
		return err
	}
	d.instances = append(d.instances, i)
	return nil
}

// launch starts the process of an instance.
func (d *deployment) launch(i *instance) error {
	log, err := os.OpenFile(filepath.Join(d.dir, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.CommandContext(context.Background(), program, "run")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), envSettings + "=" + i.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	i.cmd, i.exited = cmd, make(chan struct{})
	go func() {
		_ = cmd.Wait() // the exit status is in cmd.ProcessState
		_ = log.Close()
		close(i.exited)
	}()
	return nil
}

// freeAddress returns a loopback address with a port that nothing listens on.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// awaitServing waits until an instance answers a write.
func awaitServing(address string) error { return awaitRoute(address, routePrimary) }

// awaitRoute waits until an instance answers a write to a database.
func awaitRoute(address, database string) error {
	for end := time.Now().Add(servingTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		c, err := dial(address, database)
		if err != nil {
			continue
		}
		a, err := c.query(newID("start"), "WRITE start x")
		c.close()
		if err == nil && a.code == "" {
			return nil
		}
	}
	return errors.New("the instance does not serve")
}
