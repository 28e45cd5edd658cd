package claim

import (
	"context"
	"errors"
	"time"

	"github.com/cornelyard/cornelyard/storage"
)

const (
	// sweepPage is the number of rows that are looked at in one step.
	sweepPageSize = 200
	// sweepPause is the time between two steps of a round. With sweepPage it
	// bounds what a round takes of the platform.
	sweepPageDelay = time.Second
	// sweepRest is the time between two rounds.
	sweepInterval = 10 * time.Minute
	// sweepTimeout bounds one step.
	sweepPageTimeout = 10 * time.Second
)

// Sweeper removes claims that are older than the retention. Several sweepers do
// no harm to each other: a row is removed only as it was read.
type Sweeper struct {
	options SweeperOptions
	// after is the last key of the present round.
	after string
}

// NewSweeper returns a sweeper; Run makes it work.
func NewSweeper(o SweeperOptions) *Sweeper { return &Sweeper{options: o} }

// Run sweeps until ctx ends.
func (s *Sweeper) Run(ctx context.Context) error {
	for {
		timer := time.NewTimer(s.sweepNext(ctx))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
	}
}

// next makes one step and returns the time until the next one. A step that fails
// is made again after the rest.
func (s *Sweeper) sweepNext(ctx context.Context) time.Duration {
	if !s.options.Enabled() {
		s.after = ""
		return sweepInterval
	}
	ctx, cancel := context.WithTimeout(ctx, sweepPageTimeout)
	defer cancel()
	more, err := s.sweepPage(ctx)
	if err != nil {
		s.options.Logger.Warn().Err(err).Msg("Old claims can't be removed.")
		return sweepInterval
	}
	if !more {
		return sweepInterval
	}
	return sweepPageDelay
}

// step looks at one page and removes what is old. It reports whether the round
// goes on.
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

// isOld says whether a row's claim is older than the retention. A row that can't
// be read, or holds no time, stays.
func (s *Sweeper) isExpired(row storage.Row) bool {
	r, err := decodeRecord(row.Value)
	if err != nil || r.At.IsZero() {
		return false
	}
	return s.options.Now().Sub(r.At) > s.options.Retention
}

// remove deletes the answers first, so that none is left without its row, and
// then the rows in one transaction.
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
