package claim

import (
	"context"
	"errors"
	"time"

	"github.com/cornelyard/cornelyard/internal/periodic"
	"github.com/cornelyard/cornelyard/storage"
)

const (
	// sweepPageSize is the number of rows that are read at once.
	sweepPageSize = 200
	// sweepPageDelay is the time between two pages. Together with sweepPageSize it
	// limits the load of a sweep on the platform.
	sweepPageDelay = time.Second
	// sweepInterval is the time between two sweeps of the table.
	sweepInterval = 10 * time.Minute
	// sweepPageTimeout is the timeout of one page.
	sweepPageTimeout = 10 * time.Second
)

// Sweeper deletes claims that are older than the retention period. Several sweepers may
// run concurrently: a row is deleted only if it has not changed since it was read.
type Sweeper struct {
	options SweeperOptions
	// after is the last key that the current sweep has read.
	after string
}

// NewSweeper returns a Sweeper.
func NewSweeper(o SweeperOptions) *Sweeper { return &Sweeper{options: o} }

// Run sweeps until ctx ends.
func (s *Sweeper) Run(ctx context.Context) error {
	for periodic.Sleep(ctx, s.sweepNext(ctx)) {
	}
	return nil
}

// sweepNext sweeps the next page and returns the time until the following one. A page
// that failed is retried after sweepInterval.
func (s *Sweeper) sweepNext(ctx context.Context) time.Duration {
	if !s.options.Enabled() {
		s.after = ""
		return sweepInterval
	}
	ctx, cancel := context.WithTimeout(ctx, sweepPageTimeout)
	defer cancel()
	more, err := s.sweepPage(ctx)
	if err != nil {
		s.options.Logger.Warn().Err(err).Msg("Expired claims could not be deleted; retrying after the sweep interval")
		return sweepInterval
	}
	if !more {
		return sweepInterval
	}
	return sweepPageDelay
}

// sweepPage reads one page and deletes its expired claims. It reports whether the sweep
// has further pages.
func (s *Sweeper) sweepPage(ctx context.Context) (more bool, err error) {
	rows, err := s.options.Table.Scan(ctx, claimKeyPrefix, s.after, sweepPageSize)
	if err != nil {
		return false, Error.Wrap(err)
	}
	var expired []storage.Row
	for _, row := range rows {
		if s.isExpired(row) {
			expired = append(expired, row)
		}
	}
	if err := s.deleteRows(ctx, expired); err != nil {
		return false, err
	}
	if len(rows) < sweepPageSize {
		s.after = ""
		return false, nil
	}
	s.after = rows[len(rows)-1].Key
	return true, nil
}

// isExpired reports whether a row's claim is older than the retention period. A row
// that cannot be decoded or has no time is kept.
func (s *Sweeper) isExpired(row storage.Row) bool {
	r, err := decodeRecord(row.Value)
	if err != nil || r.At.IsZero() {
		return false
	}
	return s.options.Now().Sub(r.At) > s.options.Retention
}

// deleteRows deletes the stored responses first, so that none is left without a row,
// and then the rows in one transaction. If a row has changed meanwhile, no row of the
// page is deleted.
func (s *Sweeper) deleteRows(ctx context.Context, expired []storage.Row) error {
	if len(expired) == 0 {
		return nil
	}
	var transaction storage.Transaction
	for _, row := range expired {
		if err := s.deleteResponse(ctx, row); err != nil {
			return err
		}
		transaction.Checks = append(transaction.Checks, storage.Check{Key: row.Key, Revision: row.Revision})
		transaction.Deletes = append(transaction.Deletes, row.Key)
	}
	_, err := s.options.Table.Commit(ctx, transaction)
	var conflict *storage.ConflictError
	if errors.As(err, &conflict) {
		return nil
	}
	return Error.Wrap(err)
}

func (s *Sweeper) deleteResponse(ctx context.Context, row storage.Row) error {
	r, err := decodeRecord(row.Value)
	if err != nil || r.Response == "" {
		return nil
	}
	return Error.Wrap(s.options.Objects.Delete(ctx, r.Response))
}
