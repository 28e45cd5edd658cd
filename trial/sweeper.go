package trial

import (
	"context"
	"time"

	"github.com/cornelyard/cornelyard/internal/periodic"
	"github.com/cornelyard/cornelyard/quarantine"
	"github.com/cornelyard/cornelyard/storage"
)

const (
	// sweepInterval is the time between two sweeps.
	sweepInterval = time.Hour
	// sweepPageSize is the largest number of rows that a sweep reads and deletes.
	sweepPageSize = 100
	// sweepTimeout bounds each call of a sweep.
	sweepTimeout = 5 * time.Second
)

// Sweep deletes rows that were not written for quarantine.Retention, until ctx ends. It does
// so only while enabled returns true; several hosts may sweep.
func (l *Ledger) Sweep(ctx context.Context, enabled func() bool) error {
	return periodic.Run(ctx, sweepInterval, func(time.Time) {
		if !enabled() {
			return
		}
		if err := l.sweep(ctx); err != nil {
			l.options.Logger.Warn().Err(err).Msg("Deleting old rows of trials failed; retrying after the sweep interval.")
		}
	})
}

// sweep deletes all old rows, page by page.
func (l *Ledger) sweep(ctx context.Context) error {
	after := ""
	for {
		last, err := l.sweepPage(ctx, after)
		if err != nil || last == "" {
			return err
		}
		after = last
	}
}

// sweepPage deletes the old rows of the page after a key. It returns the last key of the
// page, or "" if there is no further page.
func (l *Ledger) sweepPage(ctx context.Context, after string) (last string, err error) {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	rows, err := l.options.Table.Scan(ctx, keyPrefix, after, sweepPageSize)
	if err != nil {
		return "", err
	}
	if err := l.deleteOld(ctx, rows); err != nil {
		return "", err
	}
	if len(rows) < sweepPageSize {
		return "", nil
	}
	return rows[len(rows)-1].Key, nil
}

// deleteOld deletes the rows that are old or cannot be decoded.
func (l *Ledger) deleteOld(ctx context.Context, rows []storage.Row) error {
	var t storage.Transaction
	oldest := l.options.Now().Add(-quarantine.Retention).UnixMilli()
	for _, row := range rows {
		if r, err := decodeRecord(row.Value); err == nil && r.AtMs >= oldest {
			continue
		}
		t.Checks = append(t.Checks, storage.Check{Key: row.Key, Revision: row.Revision})
		t.Deletes = append(t.Deletes, row.Key)
	}
	if len(t.Deletes) == 0 {
		return nil
	}
	_, err := l.options.Table.Commit(ctx, t)
	return err
}
