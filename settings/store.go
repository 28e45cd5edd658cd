package settings

import (
	"context"
	"errors"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"

	"github.com/cornelyard/cornelyard/finding"
	"github.com/cornelyard/cornelyard/logging"
	"github.com/cornelyard/cornelyard/timeline"
)

// Store accepts changes to the settings and keeps their history in the platform's
// table. It is safe for concurrent use.
type Store struct {
	options StoreOptions
	loader  loader
	replica *replica
	// applySemaphore serializes the changes made through this host, so that they do
	// not conflict with each other. It is a channel rather than a mutex, so that
	// waiting for it ends with the context.
	applySemaphore chan struct{}
}

// NewStore returns a store for the table in the options.
func NewStore(o StoreOptions) *Store {
	o = o.withDefaults()
	s := &Store{
		options:        o,
		loader:         loader{table: o.Table},
		applySemaphore: make(chan struct{}, 1),
	}
	s.replica = newReplica(timeline.Discard{}, logging.Discard().For("settings"))
	if o.Watcher != nil {
		s.replica = o.Watcher.replica
	}
	return s
}

// Apply commits the change as a new version, or refuses it with a finding.List, a
// *ConflictError, a *ForbiddenError or an *UnknownVersionError; a refused change has
// no effect. It fails with storage.ErrUnavailable if the platform was unavailable and
// nothing was changed, and with an *UnknownOutcomeError if the change may have been
// committed.
func (s *Store) Apply(ctx context.Context, c Change) (Result, error) {
	a, err := s.begin(c)
	if err != nil {
		return Result{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, s.options.Timeout)
	defer cancel()
	if err := s.acquireApply(ctx); err != nil {
		return Result{}, err
	}
	defer s.releaseApply()
	return a.run(ctx)
}

// DryRun returns the result that Apply would give, without committing the change.
func (s *Store) DryRun(ctx context.Context, c Change) (Result, error) {
	a, err := s.begin(c)
	if err != nil {
		return Result{}, err
	}
	plan, err := a.plan(ctx)
	if err != nil {
		return Result{}, err
	}
	return Result{Version: plan.from.version, Changed: len(plan.edits) > 0, Edits: plan.edits}, nil
}

func (s *Store) begin(c Change) (*changeOperation, error) {
	if c.ID == "" {
		c.ID = uuid.NewString()
	}
	if err := c.check().Err(); err != nil {
		return nil, err
	}
	return &changeOperation{store: s, change: c}, nil
}

func (s *Store) acquireApply(ctx context.Context) error {
	select {
	case s.applySemaphore <- struct{}{}:
		return nil
	case <-ctx.Done():
		return Error.New("nothing was changed: %w", ctx.Err())
	}
}

func (s *Store) releaseApply() { <-s.applySemaphore }

// Head returns the newest version.
func (s *Store) Head(ctx context.Context) (uint64, error) {
	newest, err := s.loader.head(ctx)
	return newest.version, err
}

// History returns up to limit changes after the version, oldest first.
func (s *Store) History(ctx context.Context, after uint64, limit int) ([]Record, error) {
	newest, err := s.loader.head(ctx)
	if err != nil {
		return nil, err
	}
	if after >= newest.version {
		return nil, nil
	}
	return s.loader.records(ctx, after, min(newest.version, after+uint64(max(limit, 0))))
}

// At returns the documents of a version and its number; zero means the newest. It
// reverts the newest version step by step, so its cost grows with the number of
// changes since then.
func (s *Store) At(ctx context.Context, version uint64) (*Tree, uint64, error) {
	newest, _, err := s.loader.load(ctx, s.replica.load())
	if err != nil {
		return nil, 0, err
	}
	if version == 0 || version == newest.version {
		return newest.tree, newest.version, nil
	}
	if version > newest.version {
		return nil, 0, &UnknownVersionError{Version: version, Head: newest.version}
	}
	records, err := s.loader.records(ctx, version, newest.version)
	if err != nil {
		return nil, 0, err
	}
	return newest.tree.revert(records), version, nil
}

// newBackOff returns the backoff between the attempts to commit one change.
func newBackOff() backoff.BackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = minRetryInterval
	b.MaxInterval = maxRetryInterval
	return b
}

// isRefusal reports whether err is a final refusal, so that the change has no effect.
func isRefusal(err error) bool {
	var findings finding.List
	var conflict *ConflictError
	var forbidden *ForbiddenError
	var base *UnknownVersionError
	return errors.As(err, &findings) || errors.As(err, &conflict) ||
		errors.As(err, &forbidden) || errors.As(err, &base)
}
