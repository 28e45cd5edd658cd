package settings

import (
	"context"
)

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
