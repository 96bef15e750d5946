package membership

import (
	"fmt"
	"os"
	"runtime"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"geraniumbeam/internal/ownership"
	"geraniumbeam/internal/platform"
	"geraniumbeam/internal/wire"
)

func cpuTime(t testing.TB) time.Duration {
	t.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		t.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Guards against traffic per instance that grows with the number of instances.
// The other costs of an idle fleet are only logged, because they depend on the
// machine.
func TestTrafficPerInstanceDoesNotGrowWithFleet(t *testing.T) {
	if os.Getenv("GERANIUMBEAM_LONG") == "" {
		t.Skip("set GERANIUMBEAM_LONG=1 for the measurement")
	}
	const warm, measured = 20 * time.Second, 30 * time.Second
	placements := map[string]func(int) string{
		"one data centre":   oneDataCentre,
		"nine data centres": func(i int) string { return fmt.Sprint("dc", i%9) },
	}
	for name, dataCentre := range placements {
		perInstance := make(map[int]float64)
		for _, n := range []int{7, 21, 63} {
			c := newCluster(t, n, dataCentre)
			c.eventually("all see each other", func() bool { return agree(c.nodes) })
			time.Sleep(warm)
			sent := func() (total int64) {
				for _, node := range c.nodes {
					var v int64
					_, _ = fmt.Sscan(node.vars.Get("sent").String(), &v)
					total += v
				}
				return total
			}
			bytes, cpu, calls, messages := c.bytes.Load(), cpuTime(t), c.standin.Counts().Total(), sent()
			time.Sleep(measured)
			seconds := measured.Seconds()
			// Each byte is counted once but sent by one instance and received by another.
			perInstance[n] = 2 * float64(c.bytes.Load()-bytes) / float64(n) / seconds
			var m runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&m)
			t.Logf("%s, %d instances: %.0f B/s per instance sent and received, %.2f messages/s sent per instance, "+
				"%.3f %% of a core per instance, %.3f platform calls/s in all, %d connections accepted, %d KiB heap per instance",
				name, n, perInstance[n], float64(sent()-messages)/float64(n)/seconds,
				100*(cpuTime(t)-cpu).Seconds()/seconds/float64(n),
				float64(c.standin.Counts().Total()-calls)/seconds, c.conns.Load(), m.HeapInuse/1024/uint64(n))
			for _, node := range c.nodes {
				node.stop()
			}
		}
		// From 17 instances in a data centre on, each has the maximum number of partners.
		if perInstance[63] > 1.5*perInstance[21] {
			t.Errorf("%s: traffic grows from %.0f to %.0f B/s per instance", name, perInstance[21], perInstance[63])
		}
	}
}

// designFleetSize is the number of instances, in nine data centres, that the system is designed for.
const designFleetSize = 3900

func designInstances() []platform.Instance {
	list := make([]platform.Instance, designFleetSize)
	for i := range list {
		list[i] = platform.Instance{
			Name: fmt.Sprintf("instance-%04d", i), Address: fmt.Sprintf("10.%d.%d.1:7500", i/256, i%256),
			DataCentre: fmt.Sprintf("data-centre-%d", i%9),
		}
	}
	return list
}

// designStateOf returns the state of the instance at index i, which knows all instances.
func designStateOf(list []platform.Instance, i int) *State {
	in, now := list[i], time.Unix(1e9, 0)
	s := NewState(ownership.Instance{Name: in.Name, Address: in.Address, DataCentre: in.DataCentre}, 1, 1, now)
	s.MergeInstanceList(now, list)
	s.Live()
	return s
}

// BenchmarkGossipExchange measures the work of a probe at both ends without
// I/O, with designFleetSize instances.
func BenchmarkGossipExchange(b *testing.B) {
	list := designInstances()
	from, to, now := designStateOf(list, 0), designStateOf(list, 9), time.Unix(1e9, 0)
	target := to.Self()
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		now = now.Add(time.Millisecond)
		a := from.message(target, directTimeout)
		reply := to.HandleMessage(now, from.self.Name, a.Updates)
		from.HandleResult(now, a, true, true, reply.Updates)
	}
}

// BenchmarkMemberChange measures applying one death or restart, including the view
// derived from the members.
func BenchmarkMemberChange(b *testing.B) {
	st := designStateOf(designInstances(), 0)
	now := time.Unix(1e9, 0)
	m, _ := st.Member("instance-0009")
	b.ResetTimer()
	for i := range b.N {
		m.Incarnation, m.Status = uint64(i+2), []Status{Dead, Alive}[i%2]
		st.applyClaim(now, m, "instance-0018")
		st.Live()
		st.TakeEvents()
	}
}

// BenchmarkMemory reports the heap of a State, including the strings of the instance
// list, and the encoded size of one claim.
func BenchmarkMemory(b *testing.B) {
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		st := designStateOf(designInstances(), 0)
		runtime.GC()
		runtime.ReadMemStats(&after)
		m, _ := st.Member("instance-0009")
		m.Incarnation = uint64(time.Now().UnixMilli())
		encoded := proto.Size(&wire.GossipRequest{Updates: toWire([]Member{m})})
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/designFleetSize, "B/member")
		b.ReportMetric(float64(encoded), "B/claim")
		runtime.KeepAlive(st)
	}
}
