package daemon

import (
	"expvar"
	"runtime"
)

// publishVars adds the variables of the instance and its components to
// /debug/vars.
func (d *Daemon) publishVars() {
	v := d.metrics.Vars
	v.Set("callers", expvar.Func(func() any { return d.entry.Callers() }))
	v.Set("catalog_version", expvar.Func(func() any { return d.dir.Version() }))
	v.Set("state", expvar.Func(func() any { return d.state() }))
	v.Set("goroutines", expvar.Func(func() any { return runtime.NumGoroutine() }))
	v.Set("confsync", d.conf.Vars())
	v.Set("pool", d.pool.Vars())
	v.Set("failover", d.failover.Vars())
	v.Set("events", d.events.Vars())
	v.Set("membership", d.members.Vars())
	v.Set("platform_calls", d.platform.Vars())
	v.Set("memstats", expvar.Func(memstats))
}

// memstats returns the fields of runtime.MemStats that reports use. All but NumGC
// are in bytes.
func memstats() any {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return map[string]uint64{
		"HeapAlloc":  m.HeapAlloc,
		"HeapInuse":  m.HeapInuse,
		"StackInuse": m.StackInuse,
		"Sys":        m.Sys,
		"NumGC":      uint64(m.NumGC),
	}
}
