package settings

import (
	"context"
	"errors"

	"github.com/cornelyard/cornelyard/storage"
)

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
