package trial

import (
	"context"
	"strings"
	"time"

	"github.com/cornelyard/cornelyard/internal/periodic"
	"github.com/cornelyard/cornelyard/quarantine"
	"github.com/cornelyard/cornelyard/storage"
)

const (
	// scanInterval is the time between two reads of all rows, and scanRetryDelay the delay
	// before another attempt after a failure.
	scanInterval   = time.Hour
	scanRetryDelay = time.Second
	// scanPageSize is the number of rows that are read at once.
	scanPageSize = 200
	// scanTimeout bounds each call of a scan.
	scanTimeout = 5 * time.Second
)

// ScanOptions configures Ledger.Run. All fields are required.
type ScanOptions struct {
	// Sweeps reports whether this host deletes old rows; several hosts may.
	Sweeps func() bool
	// OnContents is called with the contents on trial after each read of the rows.
	OnContents func([]quarantine.Digest)
}

// Run reads the rows of all contents at once and then at intervals, until ctx ends. It
// deletes those that were not written for quarantine.Retention.
func (l *Ledger) Run(ctx context.Context, o ScanOptions) error {
	for {
		delay := scanInterval
		if err := l.scan(ctx, o); err != nil && ctx.Err() == nil {
			l.options.Logger.Warn().Err(err).Msg("Reading the rows of trials failed; trying again.")
			delay = scanRetryDelay
		}
		l.scanned.Store(true)
		if !periodic.Sleep(ctx, delay) {
			return nil
		}
	}
}

// Scanned reports whether Run has tried to read the rows.
func (l *Ledger) Scanned() bool { return l.scanned.Load() }

// scan reads all rows, page by page.
func (l *Ledger) scan(ctx context.Context, o ScanOptions) error {
	var contents []quarantine.Digest
	for after := ""; ; {
		rows, err := l.scanPage(ctx, after)
		if err != nil {
			return err
		}
		contents = append(contents, l.contentsOf(rows)...)
		if o.Sweeps() {
			err = l.deleteOld(ctx, rows)
		}
		if err != nil {
			return err
		}
		if len(rows) < scanPageSize {
			break
		}
		after = rows[len(rows)-1].Key
	}
	o.OnContents(contents)
	return nil
}

func (l *Ledger) scanPage(ctx context.Context, after string) ([]storage.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, scanTimeout)
	defer cancel()
	return l.options.Table.Scan(ctx, keyPrefix, after, scanPageSize)
}

// contentsOf returns the contents of the rows.
func (l *Ledger) contentsOf(rows []storage.Row) []quarantine.Digest {
	contents := make([]quarantine.Digest, 0, len(rows))
	for _, row := range rows {
		digest, err := quarantine.ParseDigest(strings.TrimPrefix(row.Key, keyPrefix))
		if err != nil {
			l.options.Logger.Warn().Err(err).Str("key", row.Key).Msg("The key of a trial is not valid; ignoring its row.")
			continue
		}
		contents = append(contents, digest)
	}
	return contents
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
	ctx, cancel := context.WithTimeout(ctx, scanTimeout)
	defer cancel()
	_, err := l.options.Table.Commit(ctx, t)
	return err
}
