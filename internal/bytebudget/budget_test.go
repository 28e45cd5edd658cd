package bytebudget

import (
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
)

func TestReservationsStayWithinTheBudget(t *testing.T) {
	const limit, free = 4 * growthBytes, 100
	b := New(limit, free)
	first, second, small := b.Reserve(), b.Reserve(), b.Reserve()
	if !first.Grow(3*growthBytes+free) || b.Used() != 3*growthBytes {
		t.Fatalf("%d bytes in use, want 3 steps", b.Used())
	}
	if second.Grow(2*growthBytes) || b.Used() != 3*growthBytes || b.Refused() != 1 {
		t.Errorf("%d bytes in use and %d refused, want the second reservation refused", b.Used(), b.Refused())
	}
	if !small.Grow(free) || !second.Grow(growthBytes) {
		t.Error("what is free or left was refused")
	}
	first.Release()
	first.Release()
	if b.Used() != growthBytes || !second.Grow(limit+free) {
		t.Errorf("%d bytes in use, want what was released to be free again", b.Used())
	}
}

func TestConcurrentReservationsStayWithinTheBudget(t *testing.T) {
	const limit = 8 * growthBytes
	b := New(limit, 0)
	var group sync.WaitGroup
	for range 64 {
		group.Go(func() {
			r := b.Reserve()
			defer r.Release()
			for size := int64(1); r.Grow(size) && r.held < limit; size += growthBytes {
				if b.Used() < r.held {
					t.Errorf("%d bytes in use, less than one holder's %d", b.Used(), r.held)
				}
			}
		})
	}
	group.Wait()
	if b.Used() != 0 {
		t.Errorf("%d bytes in use after all were released", b.Used())
	}
}

func TestReaderEndsWhenTheBudgetIsUsedUp(t *testing.T) {
	for _, test := range []struct {
		budget *Budget
		want   error
	}{{nil, nil}, {New(1<<20, 0), nil}, {New(growthBytes, 0), ErrExhausted}, {New(0, 1<<20), nil}} {
		r := test.budget.Reserve()
		body, err := io.ReadAll(r.Reader(strings.NewReader(strings.Repeat("a", 3*growthBytes))))
		if !errors.Is(err, test.want) || err == nil && len(body) != 3*growthBytes {
			t.Errorf("read %d bytes and got %v, want %v", len(body), err, test.want)
		}
		r.Release()
	}
}

// A budget that is used up must refuse the least urgent requests, not whichever comes last, and
// nothing of what runs.
func TestLessUrgentReservationsAreEvicted(t *testing.T) {
	const limit = 16 * growthBytes
	b := New(limit, 0)
	var evicted []string
	reserve := func(name string, u Urgency, steps int64) *Reservation {
		r := b.ReserveEvictable(u, func() { evicted = append(evicted, name) })
		if !r.Grow(steps * growthBytes) {
			t.Fatalf("no room for %s", name)
		}
		return r
	}
	running := reserve("running", 9, 10)
	if !running.Keep() {
		t.Fatal("a reservation was evicted without need")
	}
	older, newer, urgent := reserve("older", 5, 2), reserve("newer", 5, 2), reserve("urgent", 1, 2)
	if r := b.ReserveEvictable(5, func() {}); r.Grow(growthBytes) {
		t.Error("a request was served at the expense of one that is no less urgent")
	}
	if !urgent.Grow(4*growthBytes) || len(evicted) != 1 || evicted[0] != "newer" {
		t.Errorf("evicted %v, want the newest of the least urgent", evicted)
	}
	if newer.Keep() || newer.Grow(1) || !older.Keep() || !running.Grow(10*growthBytes) {
		t.Error("the evicted reservation goes on, or another one doesn't")
	}
	if used := b.Used(); used != limit+2*growthBytes {
		t.Errorf("%d bytes in use, want those of the evicted one to count until it is released", used)
	}
	if urgent.Grow(8 * growthBytes) {
		t.Error("what runs was evicted")
	}
	for _, r := range []*Reservation{running, older, newer, urgent} {
		r.Release()
	}
	if b.Used() != 0 || b.Evicted() != 1 {
		t.Errorf("%d bytes in use and %d evicted at the end, want none and 1", b.Used(), b.Evicted())
	}
}

// Requests that wait for a target with their bodies must not keep out all more urgent ones.
func TestLessUrgentReservationsLeaveRoom(t *testing.T) {
	const limit = 16 * growthBytes
	b := New(limit, 0)
	fill := func(u Urgency) (count int64) {
		for {
			r := b.ReserveEvictable(u, func() {})
			if !r.Grow(growthBytes) {
				return count
			}
			r.Keep()
			t.Cleanup(r.Release)
			count++
		}
	}
	urgent := b.Reserve()
	urgent.Grow(2 * growthBytes)
	if n := fill(5); n != 12 {
		t.Errorf("%d steps used beside 2 urgent ones, want 12 of 16", n)
	}
	if n := fill(0); n != 2 {
		t.Errorf("%d steps left for urgent ones, want 2", n)
	}
	urgent.Release()
}

// Evicted reservations that are not released must not let the memory grow without a bound.
func TestEvictedReservationsAreBounded(t *testing.T) {
	const limit = 16 * growthBytes
	b := New(limit, 0)
	for u := Urgency(100); u > 0; u-- {
		b.ReserveEvictable(u, func() {}).Grow(growthBytes)
	}
	if used := b.Used(); used > limit+limit/maxEvictingPart {
		t.Errorf("%d bytes in use, want at most a quarter more than %d", used, limit)
	}
}

// What is released must go to a more urgent request that was refused, not to whichever body arrives.
func TestRefusedReservationsComeFirst(t *testing.T) {
	b := New(16*growthBytes, 0)
	var running []*Reservation
	for range 16 {
		r := b.ReserveEvictable(5, func() {})
		if !r.Grow(growthBytes) || !r.Keep() {
			t.Fatal("the budget is not used up, but a request was refused")
		}
		running = append(running, r)
	}
	urgent, other := b.ReserveEvictable(1, func() {}), b.ReserveEvictable(5, func() {})
	if urgent.Grow(2 * growthBytes) {
		t.Fatal("what runs was evicted")
	}
	running[0].Release()
	running[1].Release()
	if other.Grow(growthBytes) || !urgent.Grow(2*growthBytes) {
		t.Error("the less urgent request got the memory first")
	}
	running[2].Release()
	running[3].Release()
	running[4].Release()
	if !other.Grow(growthBytes) {
		t.Error("the memory is kept for more than the urgent requests may need")
	}
}
