package settings

import (
	"context"
	"errors"
	"strings"

	"github.com/cornelyard/cornelyard/storage"
)

const (
	// scanPageSize is the maximum number of rows read in one scan call.
	scanPageSize = 200
	// maxReplayedChanges is the largest number of changes that are replayed. A host
	// that is further behind reads the complete tree instead.
	maxReplayedChanges = 500
)

// loader reads the settings rows of the platform's table.
type loader struct {
	table storage.Table
}

func (l loader) head(ctx context.Context) (head, error) {
	row, err := l.table.Get(ctx, headKey)
	if errors.Is(err, storage.ErrNotFound) {
		return head{}, nil
	}
	if err != nil {
		return head{}, Error.Wrap(err)
	}
	var value headRow
	if err := readRow(row, &value); err != nil {
		return head{}, err
	}
	return head{version: value.Version, revision: row.Revision}, nil
}

// load returns the newest state. It replays the changes after the known state, or
// scans the complete tree if there are more than maxReplayedChanges.
func (l loader) load(ctx context.Context, known *state) (*state, head, error) {
	newest, err := l.head(ctx)
	if err != nil {
		return nil, head{}, err
	}
	if newest.version < known.version {
		return nil, head{}, Error.New("the platform shows version %d, but version %d is known: %w", newest.version, known.version, storage.ErrUnavailable)
	}
	if newest.version-known.version > maxReplayedChanges {
		known, err = l.scan(ctx, known, newest.version)
		if err != nil {
			return nil, head{}, err
		}
	}
	loaded, err := l.replay(ctx, known, newest.version)
	return loaded, newest, err
}

// replay applies the changes after the current state up to version.
func (l loader) replay(ctx context.Context, current *state, version uint64) (*state, error) {
	records, err := l.records(ctx, current.version, version)
	if err != nil {
		return nil, err
	}
	for _, r := range records {
		current = current.after(r)
	}
	return current, nil
}

// records returns the changes after version after, up to and including upTo.
func (l loader) records(ctx context.Context, after, upTo uint64) ([]Record, error) {
	var records []Record
	for after < upTo {
		limit := min(scanPageSize, int(upTo-after))
		page, err := l.table.Scan(ctx, changePrefix, changeKey(after), limit)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		for _, row := range page {
			var r Record
			if err := readRow(row, &r); err != nil {
				return nil, err
			}
			if r.Version != after+1 {
				return nil, Error.New("change %d is missing", after+1)
			}
			records = append(records, r)
			after = r.Version
		}
		if len(page) == 0 {
			return nil, Error.New("change %d is missing", after+1)
		}
	}
	return records, nil
}

// scan reads all documents. A change that commits during the scan may be included or
// not, so the result carries the version from before the scan. Replaying the later
// changes gives the same tree in both cases. Unchanged entries of known are reused.
func (l loader) scan(ctx context.Context, known *state, version uint64) (*state, error) {
	tree := newTree(nil, 0)
	after := ""
	for {
		page, err := l.table.Scan(ctx, documentPrefix, after, scanPageSize)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		if len(page) == 0 {
			return l.replayToHead(ctx, &state{version: version, tree: tree})
		}
		for _, row := range page {
			if err := addDocumentRow(tree, known.tree, row); err != nil {
				return nil, err
			}
		}
		after = page[len(page)-1].Key
	}
}

// replayToHead replays the changes that were committed during a scan, so that the
// state matches one version exactly.
func (l loader) replayToHead(ctx context.Context, scanned *state) (*state, error) {
	newest, err := l.head(ctx)
	if err != nil {
		return nil, err
	}
	return l.replay(ctx, scanned, newest.version)
}

func addDocumentRow(tree, known *Tree, row storage.Row) error {
	var value documentRow
	if err := readRow(row, &value); err != nil {
		return err
	}
	path := strings.TrimPrefix(row.Key, documentPrefix)
	tree.addEntry(known, Document{Path: path, Body: value.Body}, value.Version)
	return nil
}

// committedVersion returns the version under which the change was committed; ok is
// false if it was not.
func (l loader) committedVersion(ctx context.Context, id string) (version uint64, ok bool, err error) {
	row, err := l.table.Get(ctx, committedKey(id))
	if errors.Is(err, storage.ErrNotFound) {
		return 0, false, nil
	}
	if err != nil {
		return 0, false, Error.Wrap(err)
	}
	var value committedRow
	if err := readRow(row, &value); err != nil {
		return 0, false, err
	}
	return value.Version, true, nil
}
