package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/outcome"
)

// BenchmarkDecision measures one end, one arrival and the decision that follows
// them in a full pool.
func BenchmarkDecision(b *testing.B) {
	for _, targets := range []int{10, 100, 1000} {
		for _, queued := range []int{100, 10_000} {
			b.Run(fmt.Sprintf("targets=%d/queued=%d", targets, queued), func(b *testing.B) {
				benchmarkDecision(b, targets, queued)
			})
		}
	}
}

func benchmarkDecision(b *testing.B, targets, queued int) {
	const slots = 8
	config := testConfig(targets, slots)
	config.Pool.MaxQueue = 2 * queued
	s := newTestScheduler(config)
	now, count := epoch, 0
	var running []ident.Request
	arrive := func() {
		count++
		r := testRequest(fmt.Sprint(count), fmt.Sprintf("team-%d", count%50), string(testTiers[count%4].Name))
		r.Deadline = now.Add(time.Hour + time.Duration(count%1000)*time.Second)
		r.Prefix = []uint64{uint64(count % 100), uint64(count), uint64(count) << 32}
		s.Enqueue(now, r)
	}
	decide := func() {
		for _, action := range s.Decide(now) {
			if grant, ok := action.(*Grant); ok {
				running = append(running, grant.Request.ID)
			}
		}
	}
	end := func() {
		e := End{ID: running[0], Outcome: outcome.Completed, PromptTokens: 100, Tokens: 50, Prefill: 5 * time.Millisecond, Total: time.Second}
		running = running[1:]
		s.End(now, e)
	}
	for range targets * slots {
		arrive()
	}
	decide()
	for range 20 {
		end()
		decide()
	}
	for range queued {
		arrive()
		decide()
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(100 * time.Microsecond)
		end()
		arrive()
		decide()
	}
	if got := len(s.queue); got < queued/2 {
		b.Fatalf("only %d requests queued, so the benchmark does not measure a full queue", got)
	}
}
