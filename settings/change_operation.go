package settings

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/cornelyard/cornelyard/storage"
)

// changeOperation applies one Change to the settings table, including its retries.
type changeOperation struct {
	store  *Store
	change Change
	// base is the version against which conflicts are detected. It is valid once
	// baseSet is true.
	base    uint64
	baseSet bool
	// outcomeUnknown is set once a commit has failed in a way that leaves open whether
	// it took effect.
	outcomeUnknown bool
	// unavailableSince is the start of the current period in which the platform has
	// been unavailable; zero if it was available at the last attempt.
	unavailableSince time.Time
}

// run attempts the change until it is committed or refused, or ctx ends. It retries
// when concurrent changes commit first and when the platform fails.
func (o *changeOperation) run(ctx context.Context) (Result, error) {
	var last error
	result, err := backoff.Retry(ctx, func() (Result, error) {
		result, err := o.attempt(ctx)
		if err != nil && ctx.Err() == nil {
			last = err
		}
		if err != nil && o.isPermanent(err) {
			return result, backoff.Permanent(err)
		}
		return result, err
	}, backoff.WithBackOff(newBackOff()), backoff.WithMaxElapsedTime(0))
	switch {
	case err == nil || isRefusal(err):
		return result, err
	case last != nil:
		err = last
	}
	if o.outcomeUnknown {
		return Result{}, &UnknownOutcomeError{ID: o.change.ID, Err: err}
	}
	return Result{}, Error.New("nothing was changed: %w", err)
}

// isPermanent reports whether err rules out further attempts: the change is refused,
// or the platform has been unavailable for longer than maxUnavailableTime and every
// commit so far is known to have had no effect.
func (o *changeOperation) isPermanent(err error) bool {
	if isRefusal(err) {
		return true
	}
	if !errors.Is(err, storage.ErrUnavailable) {
		o.unavailableSince = time.Time{}
		return false
	}
	if o.unavailableSince.IsZero() {
		o.unavailableSince = time.Now()
	}
	return !o.outcomeUnknown && time.Since(o.unavailableSince) > maxUnavailableTime
}

// attempt makes one attempt to commit the change.
func (o *changeOperation) attempt(ctx context.Context) (Result, error) {
	p, err := o.load(ctx)
	if err != nil {
		return Result{}, err
	}
	// This lookup must follow the read of the head: if the head has moved since an
	// earlier commit was sent, that commit fails its check of the head's revision
	// and can no longer take effect.
	version, committed, err := o.store.loader.committedVersion(ctx, o.change.ID)
	if err != nil {
		return Result{}, err
	}
	if committed {
		return o.committedResult(ctx, version)
	}
	if err := o.prepare(ctx, p); err != nil {
		return Result{}, err
	}
	if len(p.edits) == 0 {
		return Result{Version: p.from.version}, nil
	}
	return o.commit(ctx, p)
}

// plan returns what the change would do, without committing it.
func (o *changeOperation) plan(ctx context.Context) (*plan, error) {
	p, err := o.load(ctx)
	if err != nil {
		return nil, err
	}
	return p, o.prepare(ctx, p)
}

// load reads the newest version, to which the change is applied.
func (o *changeOperation) load(ctx context.Context) (*plan, error) {
	from, newest, err := o.store.loader.load(ctx, o.store.replica.load())
	if err != nil {
		return nil, err
	}
	o.store.replica.install(from)
	if from.version != newest.version {
		return nil, Error.New("the settings changed while they were read")
	}
	return &plan{from: from, revision: newest.revision}, nil
}
