package timeline

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/cornelyard/cornelyard/ident"
)

func typicalEvent(i int) Event {
	return Event{
		Kind:    Granted,
		Request: ident.Request(fmt.Sprintf("host-%02d-1800000000-%08d", i%36, i)),
		Team:    ident.Team(fmt.Sprintf("team-%04d", i%4400)),
		Tier:    "standard",
		Pool:    ident.Pool(fmt.Sprintf("model-%02d", i%19)),
		Target:  ident.Target(fmt.Sprintf("engine-%02d", i%30)),
		Peer:    ident.Host(fmt.Sprintf("host-%02d", i%36)),
	}
}

// BenchmarkRecord measures the time to record an event and the heap memory per
// event of a full ring.
func BenchmarkRecord(b *testing.B) {
	events := make([]Event, 2*DefaultCapacity)
	for i := range events {
		events[i] = typicalEvent(i)
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	r := NewRing(RingOptions{Host: "a"})
	for i := range DefaultCapacity {
		e := typicalEvent(i)
		r.Record(e)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		r.Record(events[i%len(events)])
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/DefaultCapacity, "heap-B/event")
}
