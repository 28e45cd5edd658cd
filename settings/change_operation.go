package settings

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/cornelyard/cornelyard/storage"
)

// attempt is the way of one change into the table, with its retries.
type changeOperation struct {
	store  *Store
	change Change
	// base is the version that the change is held against, once based is set.
	base    uint64
	baseSet bool
	// unclear says that a commit may have taken effect unseen.
	outcomeUnknown bool
	// downSince is when the platform was first found down, of late.
	unavailableSince time.Time
}

// run commits the change, again while others come first or the platform fails.
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

// isFinal reports whether another attempt is of no use: the change is refused,
// or the platform has been down for a while and no commit is unclear.
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

// try makes one attempt.
func (o *changeOperation) attempt(ctx context.Context) (Result, error) {
	p, err := o.load(ctx)
	if err != nil {
		return Result{}, err
	}
	// The head was read first: if it has moved, no commit that is still under
	// way can take effect any more.
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

// plan returns what the change would do, without a commit.
func (o *changeOperation) plan(ctx context.Context) (*plan, error) {
	p, err := o.load(ctx)
	if err != nil {
		return nil, err
	}
	return p, o.prepare(ctx, p)
}

// load reads the version to change.
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

// prepare checks the change against the version and works out its edits.
func (o *changeOperation) prepare(ctx context.Context, p *plan) error {
	if err := o.checkPermission(p.from.tree); err != nil {
		return err
	}
	if err := o.checkBase(ctx, p.from.version); err != nil {
		return err
	}
	edits, findings := o.change.edits(p.from.tree)
	if err := findings.Err(); err != nil {
		return err
	}
	p.edits = edits
	p.next = p.from.tree.withEdits(edits, p.from.version+1)
	return introducedFindings(p.from.tree, p.next).Err()
}

func (o *changeOperation) checkPermission(tree *Tree) error {
	principal := o.change.Principal
	if !principal.hasValidToken(tree) {
		return &ForbiddenError{Principal: principal}
	}
	var outside []string
	for _, path := range o.change.paths() {
		if !principal.MayChange(path) {
			outside = append(outside, path)
		}
	}
	if len(outside) > 0 {
		return &ForbiddenError{Principal: principal, Paths: outside}
	}
	return nil
}

// checkBase looks for changes of the same documents since the base.
func (o *changeOperation) checkBase(ctx context.Context, newest uint64) error {
	o.initBase(newest)
	if o.base > newest {
		return &UnknownVersionError{Version: o.base, Head: newest}
	}
	records, err := o.store.loader.records(ctx, o.base, newest)
	if err != nil {
		return err
	}
	conflicts := o.conflicts(records)
	if len(conflicts) > 0 {
		return &ConflictError{Conflicts: conflicts}
	}
	return nil
}

// fixBase settles the base at the first attempt.
func (o *changeOperation) initBase(newest uint64) {
	if o.baseSet {
		return
	}
	o.baseSet = true
	o.base = o.change.Base
	if o.base == 0 {
		o.base = newest
	}
}

// conflicts returns, for each document, the newest of the records that touch it.
func (o *changeOperation) conflicts(records []Record) []Conflict {
	var conflicts []Conflict
	for _, path := range o.change.paths() {
		found := Conflict{Path: path, Base: o.base, Author: o.change.Author}
		for _, r := range records {
			if r.touches(path) {
				found.Theirs = r
			}
		}
		if found.Theirs.Version > 0 {
			conflicts = append(conflicts, found)
		}
	}
	return conflicts
}

func (o *changeOperation) commit(ctx context.Context, p *plan) (Result, error) {
	version := p.from.version + 1
	t, err := o.transaction(p, version)
	if err != nil {
		return Result{}, err
	}
	_, err = o.store.options.Table.Commit(ctx, t)
	if err != nil {
		o.outcomeUnknown = o.outcomeUnknown || !hadNoEffect(err)
		return Result{}, Error.Wrap(err)
	}
	o.store.replica.install(&state{version: version, tree: p.next})
	return Result{Version: version, Changed: true, Edits: p.edits}, nil
}

// failedClearly reports whether a commit with that error had no effect.
func hadNoEffect(err error) bool {
	var conflict *storage.ConflictError
	return errors.As(err, &conflict) || errors.Is(err, storage.ErrUnavailable)
}

func (o *changeOperation) transaction(p *plan, version uint64) (storage.Transaction, error) {
	record := Record{
		Version:   version,
		ID:        o.change.ID,
		Author:    o.change.Author,
		Principal: o.change.Principal.String(),
		Reason:    o.change.Reason,
		Time:      o.store.options.Now().UTC(),
		Edits:     p.edits,
	}
	b := &transactionBuilder{}
	b.check(headKey, p.revision)
	b.check(committedKey(record.ID), 0)
	b.put(headKey, headRow{Version: version})
	b.put(committedKey(record.ID), committedRow{Version: version})
	b.put(changeKey(version), record)
	for _, edit := range p.edits {
		b.edit(edit, version)
	}
	return b.transaction, b.err
}

// settle returns the result of a commit that was read back.
func (o *changeOperation) committedResult(ctx context.Context, version uint64) (Result, error) {
	records, err := o.store.loader.records(ctx, version-1, version)
	if err != nil {
		return Result{}, err
	}
	return Result{Version: version, Changed: true, Edits: records[0].Edits}, nil
}
