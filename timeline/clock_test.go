package timeline

import (
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestClockOrder checks the two invariants of a hybrid logical clock, whatever
// the wall clocks do: the readings of a host increase strictly, and the receipt
// of a message is later than its sending.
func TestClockOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const hosts = 3
		walls := make([]int64, hosts)
		clocks := make([]*Clock, hosts)
		last := make([]Timestamp, hosts)
		for i := range clocks {
			clocks[i] = NewClockFrom(func() int64 { return walls[i] })
		}
		read := func(i int) Timestamp {
			now := clocks[i].Now()
			if !last[i].Before(now) {
				t.Fatalf("host %d read %v after %v", i, now, last[i])
			}
			last[i] = now
			return now
		}
		host := rapid.IntRange(0, hosts-1)
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			from, to := host.Draw(t, "from"), host.Draw(t, "to")
			// Wall clocks may jump forwards and backwards.
			walls[from] += rapid.Int64Range(-int64(time.Second), int64(time.Second)).Draw(t, "jump")
			sent := read(from)
			if !clocks[to].Observe(sent) {
				continue
			}
			if received := read(to); !sent.Before(received) {
				t.Fatalf("received at %v what was sent at %v", received, sent)
			}
		}
	})
}

func TestClockIgnoresDistantFuture(t *testing.T) {
	c := NewClockFrom(func() int64 { return 1000 })
	if c.Observe(Timestamp{Wall: 1001 + int64(maxClockAdvance)}) {
		t.Error("a timestamp far ahead was observed")
	}
	if got := c.Now(); got.Wall != 1000 {
		t.Errorf("the clock reads %v, want the wall time", got)
	}
}

func TestClockCounterOverflow(t *testing.T) {
	c := NewClockFrom(func() int64 { return 1000 })
	c.Observe(Timestamp{Wall: 1000, Logical: ^uint32(0)})
	if got, want := c.Now(), (Timestamp{Wall: 1001}); got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}

func TestClockConcurrentReads(t *testing.T) {
	c := NewClock()
	const readers, readings = 4, 500
	seen := make([][]Timestamp, readers)
	var group sync.WaitGroup
	for i := range readers {
		group.Go(func() {
			for range readings {
				seen[i] = append(seen[i], c.Now())
			}
		})
	}
	group.Wait()
	all := make(map[Timestamp]bool)
	for _, s := range seen {
		for _, ts := range s {
			all[ts] = true
		}
	}
	if len(all) != readers*readings {
		t.Errorf("%d distinct readings of %d", len(all), readers*readings)
	}
}
