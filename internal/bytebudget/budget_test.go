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
