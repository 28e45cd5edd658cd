package settings

import (
	"context"

	"github.com/cornelyard/cornelyard/storage"
)

// ScanForTest reads the complete tree by a scan, as a host does that is too far behind
// to replay the changes.
func ScanForTest(ctx context.Context, table storage.Table) (*Tree, uint64, error) {
	l := loader{table: table}
	newest, err := l.head(ctx)
	if err != nil {
		return nil, 0, err
	}
	s, err := l.scan(ctx, emptyState(), newest.version)
	if err != nil {
		return nil, 0, err
	}
	return s.tree, s.version, nil
}
