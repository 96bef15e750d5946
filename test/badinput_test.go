package integration

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"geraniumbeam/internal/catalog"
	"geraniumbeam/internal/platform"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/settings"
	"geraniumbeam/internal/wire"
)

// Limits that are below the defaults to keep the test short.
const (
	testMaxMessage     = 1 << 20
	testStartupTimeout = time.Second
)

// Guards against malformed input that crashes an instance, keeps a connection open
// for ever or affects its other callers.
func TestBadInput(t *testing.T) {
	c := startCluster(t, options{editSettings: func(s *settings.Settings) {
		s.Callers.MaxMessage = testMaxMessage
		s.Callers.StartupTimeout = catalog.Duration(testStartupTimeout)
	}})
	others := startBackgroundLoad(t, c, "gb-1")
	for _, tc := range []struct {
		name string
		run  func(*testing.T, *cluster)
	}{
		{"damaged frame", damagedFrame},
		{"damaged message body", damagedBody},
		{"oversized message", oversizedMessage},
		{"damaged token", damagedToken},
		{"incomplete startup packet", incompleteStartup},
		{"slow sender", slowSender},
		{"garbage to callers", func(t *testing.T, c *cluster) { sendGarbage(t, c.callerAddress["gb-1"]) }},
		{"garbage to the inner port", func(t *testing.T, c *cluster) { sendGarbage(t, c.innerAddress["gb-1"]) }},
		{"garbage to the metrics port", func(t *testing.T, c *cluster) { sendGarbage(t, c.metricsAddress["gb-1"]) }},
		{"invalid object on the platform", invalidObject},
	} {
		t.Run(tc.name, func(t *testing.T) { tc.run(t, c) })
	}
	others.finish(t)
	if !c.instances["gb-1"].running() {
		t.Error("gb-1 is not running after the malformed input")
	}
}

// backgroundLoad is a group of callers that send valid statements throughout a test.
type backgroundLoad struct {
	stop   chan struct{}
	wg     sync.WaitGroup
	mu     sync.Mutex
	served int
	errs   []error
}

func startBackgroundLoad(t testing.TB, c *cluster, instance string) *backgroundLoad {
	t.Helper()
	b := &backgroundLoad{stop: make(chan struct{})}
	conn := c.connect(t, instance)
	if _, err := conn.Exec(t.Context(), "CREATE TABLE bystanders (id text PRIMARY KEY)"); err != nil {
		t.Fatal(err)
	}
	for i := range 3 {
		conn := c.connect(t, instance)
		b.wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-b.stop:
					return
				case <-time.After(10 * time.Millisecond):
				}
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				_, err := conn.Exec(ctx, "INSERT INTO bystanders (id) VALUES ($1)", fmt.Sprintf("%d-%d", i, n))
				cancel()
				b.mu.Lock()
				if err != nil {
					b.errs = append(b.errs, err)
				} else {
					b.served++
				}
				b.mu.Unlock()
			}
		})
	}
	return b
}

func (b *backgroundLoad) finish(t testing.TB) {
	t.Helper()
	close(b.stop)
	b.wg.Wait()
	if len(b.errs) > 0 || b.served == 0 {
		t.Errorf("other callers: %d statements served, %d errors, the first is %v", b.served, len(b.errs), b.errs[:min(1, len(b.errs))])
	}
	t.Logf("other callers: %d statements served", b.served)
}

func dialRaw(t testing.TB, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	return conn
}

// startupPacket returns a startup packet. params holds names and values in turn.
func startupPacket(params ...string) []byte {
	body := binary.BigEndian.AppendUint32(nil, 196608)
	for _, p := range params {
		body = append(append(body, p...), 0)
	}
	body = append(body, 0)
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body)+4)), body...)
}

// rawSession opens a connection to gb-1 and completes the startup.
func rawSession(t testing.TB, c *cluster) net.Conn {
	t.Helper()
	conn := dialRaw(t, c.callerAddress["gb-1"])
	if _, err := conn.Write(startupPacket("user", "app", "database", c.seed.Services[0].Name)); err != nil {
		t.Fatal(err)
	}
	readAnswer(t, conn)
	return conn
}

// readUntilClosed returns what the instance sends before it closes the connection.
func readUntilClosed(t testing.TB, conn net.Conn) string {
	t.Helper()
	b, err := io.ReadAll(conn)
	if e, ok := err.(net.Error); ok && e.Timeout() {
		t.Fatalf("the instance did not close the connection; read %q", b)
	}
	return string(b)
}

func wantContains(t testing.TB, answer string, texts ...string) {
	t.Helper()
	for _, s := range texts {
		if !strings.Contains(answer, s) {
			t.Errorf("answer %q does not contain %q", answer, s)
		}
	}
}

func damagedFrame(t *testing.T, c *cluster) {
	conn := rawSession(t, c)
	_, _ = conn.Write([]byte{'Q', 0, 0, 0, 1})
	wantContains(t, readUntilClosed(t, conn), "GB1009", "length", "request gb-1-")
}

func damagedBody(t *testing.T, c *cluster) {
	conn := rawSession(t, c)
	// A Parse message whose strings are not terminated, followed by Sync.
	_, _ = conn.Write([]byte{'P', 0, 0, 0, 6, 'a', 'b', 'S', 0, 0, 0, 4})
	wantContains(t, readAnswer(t, conn), "GB1009", "malformed message", "request gb-1-")
}

// oversizedMessage checks that a message above the configured limit is refused
// without an end to the session, and that a length above the protocol's limit
// closes the connection.
func oversizedMessage(t *testing.T, c *cluster) {
	conn := rawSession(t, c)
	_, _ = conn.Write(queryMessage("SELECT '" + strings.Repeat("x", testMaxMessage) + "'"))
	wantContains(t, readAnswer(t, conn), "GB1007", fmt.Sprint(testMaxMessage), "request gb-1-")
	_, _ = conn.Write(queryMessage("SELECT 1"))
	wantContains(t, readAnswer(t, conn), "SELECT 1")
	_, _ = conn.Write([]byte{'Q', 0xff, 0xff, 0xff, 0xff})
	wantContains(t, readUntilClosed(t, conn), "GB1009", "length")
}

func queryMessage(sql string) []byte {
	return append(append(binary.BigEndian.AppendUint32([]byte{'Q'}, uint32(len(sql)+5)), sql...), 0)
}

// readAnswer reads up to and including ReadyForQuery.
func readAnswer(t testing.TB, conn net.Conn) string {
	t.Helper()
	var got []byte
	for !bytes.HasSuffix(got, []byte{'Z', 0, 0, 0, 5, 'I'}) {
		b := make([]byte, 4096)
		n, err := conn.Read(b)
		if err != nil {
			t.Fatalf("read the answer: %v after %q", err, got)
		}
		got = append(got, b[:n]...)
	}
	return string(got)
}

func damagedToken(t *testing.T, c *cluster) {
	for _, token := range []string{"garbage", "AAAA", strings.Repeat("A", 4000), "v9.AAAA"} {
		conn := dialRaw(t, c.callerAddress["gb-1"])
		_, _ = conn.Write(startupPacket("user", "app", "database", c.seed.Services[0].Name, "geraniumbeam.session", token))
		wantContains(t, readUntilClosed(t, conn), "GB10")
	}
	// A damaged token that is set later is refused without an end to the session.
	conn := c.connect(t, "gb-1")
	if _, err := conn.Exec(t.Context(), "SET geraniumbeam.session = 'garbage'"); err == nil || !strings.Contains(err.Error(), "GB1005") {
		t.Errorf("SET of a damaged token: got error %v, want GB1005", err)
	}
	if _, err := conn.Exec(t.Context(), "SELECT 1", pgx.QueryExecModeSimpleProtocol); err != nil {
		t.Errorf("statement after a damaged token: %v", err)
	}
}

func incompleteStartup(t *testing.T, c *cluster) {
	conn := dialRaw(t, c.callerAddress["gb-1"])
	start := time.Now()
	_, _ = conn.Write(startupPacket("user", "app")[:9])
	wantContains(t, readUntilClosed(t, conn), "GB1001")
	if took := time.Since(start); took < testStartupTimeout/2 {
		t.Errorf("connection closed after %v, want it open for about the startup timeout, %v", took, testStartupTimeout)
	}
}

// slowSender sends a statement one byte at a time, as over a slow network. It must
// be answered, and must not delay other callers.
func slowSender(t *testing.T, c *cluster) {
	conn := rawSession(t, c)
	for _, b := range queryMessage("SELECT 1") {
		if _, err := conn.Write([]byte{b}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(30 * time.Millisecond)
	}
	wantContains(t, readAnswer(t, conn), "SELECT 1")
}

// sendGarbage sends bytes of no valid protocol to a port and checks that the
// instance closes each connection.
func sendGarbage(t *testing.T, address string) {
	for _, b := range [][]byte{
		bytes.Repeat([]byte{0xff}, 4096),
		bytes.Repeat([]byte{0}, 4096),
		[]byte("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff"),
		[]byte("POST /twirp/geraniumbeam.Pool/Execute HTTP/1.1\r\nHost: x\r\nContent-Type: application/protobuf\r\nContent-Length: 9\r\n\r\n\xff\xff\xff\xff\xff\xff\xff\xff\xff"),
		[]byte("GET / HTTP/9.9\r\n\r\n"),
	} {
		conn := dialRaw(t, address)
		_, _ = conn.Write(b)
		if w, ok := conn.(*net.TCPConn); ok {
			_ = w.CloseWrite()
		}
		readUntilClosed(t, conn)
	}
}

// invalidObject stores a class that geraniumbeamctl would refuse, and checks that the
// instances keep the last valid version and report the invalid one.
func invalidObject(t *testing.T, c *cluster) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	api := c.platformClient()
	name := c.seed.Services[0].Name + ".confirm-hut"
	before, err := api.Get(ctx, platform.KindClass, name)
	if err != nil {
		t.Fatal(err)
	}
	bad := `{"name":"confirm-hut","service":"hut-ledger","rank":"highest","served_within":"1s"}`
	stored, err := api.Put(ctx, platform.KindClass, name, before.Version, []byte(bad))
	if err != nil {
		t.Fatal(err)
	}
	for _, instance := range c.instanceNames {
		waitFor(t, 10*time.Second, instance+" records the invalid object", func() bool { return c.rejections(t, instance, "class/"+name) == 1 })
		s, err := c.status(instance)
		if err != nil {
			t.Fatal(err)
		}
		for _, o := range s.GetObjects() {
			if o.GetName() == name && o.GetVersion() != before.Version {
				t.Errorf("%s holds version %d of the class, want the last valid one, %d", instance, o.GetVersion(), before.Version)
			}
		}
	}
	c.ctl(t, "get").want(t, 1, name, "highest")
	c.ctl(t, "status").want(t, 0, "Not in force, instances keep the version before: class "+name, "highest")
	// Requests of the class are still served, and a valid object replaces the
	// invalid one.
	conn := c.connect(t, "gb-1", "geraniumbeam.class=confirm-hut")
	if _, err := conn.Exec(ctx, "SELECT 1", pgx.QueryExecModeSimpleProtocol); err != nil {
		t.Errorf("statement of class confirm-hut: %v", err)
	}
	path := c.file(t, "valid.yaml", classFile("confirm-hut", "300ms"))
	c.ctl(t, "apply", path, "--expect", fmt.Sprint(stored.Version), "--wait").want(t, 0, "is in force on 7 instances")
	if r := c.ctl(t, "status").want(t, 0); strings.Contains(r.out, "highest") {
		t.Error("status still reports the invalid object after it was replaced")
	}
}

// rejections counts the events in which an instance reports an object as invalid.
func (c *cluster) rejections(t testing.TB, instance, object string) int {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	resp, err := c.clients.Admin(c.innerAddress[instance]).Events(ctx, &wire.EventsRequest{})
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	for _, e := range resp.GetEvents() {
		if result.Code(e.GetCode()) == result.Invalid && strings.Contains(e.GetText(), object) {
			n++
		}
	}
	return n
}
