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

// scanTable is a fakeTable that supports Scan.
type scanTable struct{ *fakeTable }

func (s scanTable) Scan(_ context.Context, prefix, after string, limit int) ([]storage.Row, error) {
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

// deletionRecorder records the names of deleted objects.
type deletionRecorder struct {
	fakeObjects
	deleted map[string]bool
}

func (o deletionRecorder) Delete(_ context.Context, name string) error {
	o.deleted[name] = true
	return nil
}

func TestSweeperDeletesOnlyExpiredClaims(t *testing.T) {
	const claimCount = 3*sweepPageSize + 7
	now := time.Now()
	table := newFakeTable()
	objects := deletionRecorder{fakeObjects: fakeObjects{table}, deleted: make(map[string]bool)}
	for n := range claimCount {
		r := record{State: stateCompleted, At: now, Response: fmt.Sprintf("answers/%d", n)}
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
		key := fmt.Sprintf("%steam/%04d", claimKeyPrefix, n)
		table.rows[key] = storage.Row{Key: key, Revision: 1, Value: value}
	}
	table.rows["settings/head"] = storage.Row{Key: "settings/head", Revision: 1}
	enabled := false
	s := NewSweeper(SweeperOptions{
		Table: scanTable{table}, Objects: objects, Retention: time.Hour,
		Enabled: func() bool { return enabled },
		Logger:  &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
		Now:     func() time.Time { return now },
	})
	if s.sweepNext(t.Context()) != sweepInterval || len(table.rows) != claimCount+1 {
		t.Error("claims were deleted while sweeping was not enabled")
	}
	enabled = true
	for s.sweepNext(t.Context()) == sweepPageDelay {
	}
	expired := (claimCount + 2) / 3
	if remaining := len(table.rows); remaining != claimCount+1-expired {
		t.Errorf("%d rows remain, want %d", remaining, claimCount+1-expired)
	}
	if len(objects.deleted) != expired {
		t.Errorf("%d stored responses were deleted, want %d", len(objects.deleted), expired)
	}
	if _, ok := table.rows["settings/head"]; !ok {
		t.Error("a row that is not a claim was deleted")
	}
}

func TestSweeperKeepsChangedRow(t *testing.T) {
	now := time.Now()
	table := newFakeTable()
	value, err := (&record{State: stateHeld, At: now.Add(-2 * time.Hour)}).encode()
	if err != nil {
		t.Fatal(err)
	}
	key := claimKeyPrefix + "team/one"
	table.rows[key] = storage.Row{Key: key, Revision: 1, Value: value}
	s := NewSweeper(SweeperOptions{
		Table: concurrentUpdateTable{scanTable{table}}, Objects: fakeObjects{table}, Retention: time.Hour,
		Enabled: func() bool { return true },
		Logger:  &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
		Now:     func() time.Time { return now },
	})
	s.sweepNext(t.Context())
	if _, ok := table.rows[key]; !ok {
		t.Error("a row that changed after it was read was deleted")
	}
}

// concurrentUpdateTable changes each row right after it was scanned.
type concurrentUpdateTable struct{ scanTable }

func (c concurrentUpdateTable) Scan(ctx context.Context, prefix, after string, limit int) ([]storage.Row, error) {
	rows, err := c.scanTable.Scan(ctx, prefix, after, limit)
	c.update(func() {
		for _, row := range rows {
			row.Revision++
			c.rows[row.Key] = row
		}
	})
	return rows, err
}
