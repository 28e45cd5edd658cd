package claim

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/cornelyard/cornelyard/storage"
)

// sortedTable is a fakeTable that scans.
type sortedTable struct{ *fakeTable }

func (s sortedTable) Scan(_ context.Context, prefix, after string, limit int) ([]storage.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []storage.Row
	for key, row := range s.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b storage.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows[:min(limit, len(rows))], nil
}

// sweptObjects notes what is deleted.
type sweptObjects struct {
	fakeObjects
	deleted map[string]bool
}

func (o sweptObjects) Delete(_ context.Context, name string) error {
	o.deleted[name] = true
	return nil
}

func TestSweeperRemovesOldClaimsOnly(t *testing.T) {
	const claims = 3*sweepPage + 7
	now := time.Now()
	table := newFakeTable()
	objects := sweptObjects{fakeObjects: fakeObjects{table}, deleted: make(map[string]bool)}
	for n := range claims {
		r := record{State: stateCompleted, At: now, Answer: fmt.Sprintf("answers/%d", n)}
		switch n % 3 {
		case 0:
			r.At = now.Add(-2 * time.Hour)
		case 1:
			r.At = time.Time{}
		}
		value, err := r.encode()
		if err != nil {
			t.Fatal(err)
		}
		key := fmt.Sprintf("%steam/%04d", rowPrefix, n)
		table.rows[key] = storage.Row{Key: key, Revision: 1, Value: value}
	}
	table.rows["settings/head"] = storage.Row{Key: "settings/head", Revision: 1}
	chosen := false
	s := NewSweeper(SweeperOptions{
		Table: sortedTable{table}, Objects: objects, Retention: time.Hour,
		Enabled: func() bool { return chosen },
		Logger:  &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
		Now:     func() time.Time { return now },
	})
	if s.next(t.Context()) != sweepRest || len(table.rows) != claims+1 {
		t.Error("a host that isn't chosen swept")
	}
	chosen = true
	for s.next(t.Context()) == sweepPause {
	}
	old := (claims + 2) / 3
	if left := len(table.rows); left != claims+1-old {
		t.Errorf("%d rows are left, want %d", left, claims+1-old)
	}
	if len(objects.deleted) != old {
		t.Errorf("%d answers were removed, want %d", len(objects.deleted), old)
	}
	if _, ok := table.rows["settings/head"]; !ok {
		t.Error("a row that is no claim was removed")
	}
}

func TestSweeperLeavesARowThatChanged(t *testing.T) {
	now := time.Now()
	table := newFakeTable()
	value, err := (&record{State: stateHeld, At: now.Add(-2 * time.Hour)}).encode()
	if err != nil {
		t.Fatal(err)
	}
	key := rowPrefix + "team/one"
	table.rows[key] = storage.Row{Key: key, Revision: 1, Value: value}
	s := NewSweeper(SweeperOptions{
		Table: changingTable{sortedTable{table}}, Objects: fakeObjects{table}, Retention: time.Hour,
		Enabled: func() bool { return true },
		Logger:  &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
		Now:     func() time.Time { return now },
	})
	s.next(t.Context())
	if _, ok := table.rows[key]; !ok {
		t.Error("a row that changed after it was read was removed")
	}
}

// changingTable changes each row right after it was scanned.
type changingTable struct{ sortedTable }

func (c changingTable) Scan(ctx context.Context, prefix, after string, limit int) ([]storage.Row, error) {
	rows, err := c.sortedTable.Scan(ctx, prefix, after, limit)
	c.change(func() {
		for _, row := range rows {
			row.Revision++
			c.rows[row.Key] = row
		}
	})
	return rows, err
}
