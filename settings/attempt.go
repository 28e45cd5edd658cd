package settings

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/cornelyard/cornelyard/storage"
)

// attempt is the way of one change into the table, with its retries.
type attempt struct {
	store  *Store
	change Change
	// base is the version that the change is held against, once based is set.
	base  uint64
	based bool
	// unclear says that a commit may have taken effect unseen.
	unclear bool
	// downSince is when the platform was first found down, of late.
	downSince time.Time
}

// run commits the change, again while others come first or the platform fails.
func (a *attempt) run(ctx context.Context) (Result, error) {
	var last error
	result, err := backoff.Retry(ctx, func() (Result, error) {
		result, err := a.try(ctx)
		if err != nil && ctx.Err() == nil {
			last = err
		}
		if err != nil && a.isFinal(err) {
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
	if a.unclear {
		return Result{}, &UnknownOutcomeError{ID: a.change.ID, Err: err}
	}
	return Result{}, Error.New("nothing was changed: %w", err)
}

// isFinal reports whether another attempt is of no use: the change is refused,
// or the platform has been down for a while and no commit is unclear.
func (a *attempt) isFinal(err error) bool {
	if isRefusal(err) {
		return true
	}
	if !errors.Is(err, storage.ErrUnavailable) {
		a.downSince = time.Time{}
		return false
	}
	if a.downSince.IsZero() {
		a.downSince = time.Now()
	}
	return !a.unclear && time.Since(a.downSince) > unavailableLimit
}

// try makes one attempt.
func (a *attempt) try(ctx context.Context) (Result, error) {
	p, err := a.load(ctx)
	if err != nil {
		return Result{}, err
	}
	// The head was read first: if it has moved, no commit that is still under
	// way can take effect any more.
	version, landed, err := a.store.loader.landed(ctx, a.change.ID)
	if err != nil {
		return Result{}, err
	}
	if landed {
		return a.settle(ctx, version)
	}
	if err := a.prepare(ctx, p); err != nil {
		return Result{}, err
	}
	if len(p.edits) == 0 {
		return Result{Version: p.from.version}, nil
	}
	return a.commit(ctx, p)
}

// plan returns what the change would do, without a commit.
func (a *attempt) plan(ctx context.Context) (*plan, error) {
	p, err := a.load(ctx)
	if err != nil {
		return nil, err
	}
	return p, a.prepare(ctx, p)
}

// load reads the version to change.
func (a *attempt) load(ctx context.Context) (*plan, error) {
	from, newest, err := a.store.loader.load(ctx, a.store.replica.load())
	if err != nil {
		return nil, err
	}
	a.store.replica.install(from)
	if from.version != newest.version {
		return nil, Error.New("the settings changed while they were read")
	}
	return &plan{from: from, revision: newest.revision}, nil
}

// prepare checks the change against the version and works out its edits.
func (a *attempt) prepare(ctx context.Context, p *plan) error {
	if err := a.checkRight(p.from.tree); err != nil {
		return err
	}
	if err := a.checkBase(ctx, p.from.version); err != nil {
		return err
	}
	edits, findings := a.change.edits(p.from.tree)
	if err := findings.Err(); err != nil {
		return err
	}
	p.edits = edits
	p.next = p.from.tree.with(edits, p.from.version+1)
	return newFindings(p.from.tree, p.next).Err()
}

func (a *attempt) checkRight(tree *Tree) error {
	principal := a.change.Principal
	if !principal.current(tree) {
		return &ForbiddenError{Principal: principal}
	}
	var outside []string
	for _, path := range a.change.paths() {
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
func (a *attempt) checkBase(ctx context.Context, newest uint64) error {
	a.fixBase(newest)
	if a.base > newest {
		return &UnknownVersionError{Version: a.base, Head: newest}
	}
	records, err := a.store.loader.records(ctx, a.base, newest)
	if err != nil {
		return err
	}
	conflicts := a.conflicts(records)
	if len(conflicts) > 0 {
		return &ConflictError{Conflicts: conflicts}
	}
	return nil
}

// fixBase settles the base at the first attempt.
func (a *attempt) fixBase(newest uint64) {
	if a.based {
		return
	}
	a.based = true
	a.base = a.change.Base
	if a.base == 0 {
		a.base = newest
	}
}

// conflicts returns, for each document, the newest of the records that touch it.
func (a *attempt) conflicts(records []Record) []Conflict {
	var conflicts []Conflict
	for _, path := range a.change.paths() {
		found := Conflict{Path: path, Base: a.base, Author: a.change.Author}
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

func (a *attempt) commit(ctx context.Context, p *plan) (Result, error) {
	version := p.from.version + 1
	t, err := a.transaction(p, version)
	if err != nil {
		return Result{}, err
	}
	_, err = a.store.options.Table.Commit(ctx, t)
	if err != nil {
		a.unclear = a.unclear || !failedClearly(err)
		return Result{}, Error.Wrap(err)
	}
	a.store.replica.install(&state{version: version, tree: p.next})
	return Result{Version: version, Changed: true, Edits: p.edits}, nil
}

// failedClearly reports whether a commit with that error had no effect.
func failedClearly(err error) bool {
	var conflict *storage.ConflictError
	return errors.As(err, &conflict) || errors.Is(err, storage.ErrUnavailable)
}

func (a *attempt) transaction(p *plan, version uint64) (storage.Transaction, error) {
	record := Record{
		Version:   version,
		ID:        a.change.ID,
		Author:    a.change.Author,
		Principal: a.change.Principal.String(),
		Reason:    a.change.Reason,
		Time:      a.store.options.Now().UTC(),
		Edits:     p.edits,
	}
	b := &transactionBuilder{}
	b.check(headKey, p.revision)
	b.check(landedKey(record.ID), 0)
	b.put(headKey, headRow{Version: version})
	b.put(landedKey(record.ID), landedRow{Version: version})
	b.put(changeKey(version), record)
	for _, edit := range p.edits {
		b.edit(edit, version)
	}
	return b.transaction, b.err
}

// settle returns the result of a commit that was read back.
func (a *attempt) settle(ctx context.Context, version uint64) (Result, error) {
	records, err := a.store.loader.records(ctx, version-1, version)
	if err != nil {
		return Result{}, err
	}
	return Result{Version: version, Changed: true, Edits: records[0].Edits}, nil
}
