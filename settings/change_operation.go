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

// prepare checks the change against the loaded version and computes its edits.
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

// checkBase returns a ConflictError if documents of the change were changed after its
// base.
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

// initBase sets the base on the first attempt and keeps it for the later ones.
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

// conflicts returns, for each document of the change, the newest of the records that
// edited it.
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

// hadNoEffect reports whether a commit that failed with err is known to have had no
// effect.
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

// committedResult returns the result of a change that an earlier attempt committed.
func (o *changeOperation) committedResult(ctx context.Context, version uint64) (Result, error) {
	records, err := o.store.loader.records(ctx, version-1, version)
	if err != nil {
		return Result{}, err
	}
	return Result{Version: version, Changed: true, Edits: records[0].Edits}, nil
}
