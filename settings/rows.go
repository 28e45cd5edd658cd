package settings

import (
	"encoding/json"

	"github.com/cornelyard/cornelyard/platform"
)

// headRow is the row that every change replaces.
type headRow struct {
	Version uint64 `json:"version"`
}

// documentRow is the row of one document.
type documentRow struct {
	Body    string `json:"body"`
	Version uint64 `json:"version"`
}

// landedRow says which version a change became.
type landedRow struct {
	Version uint64 `json:"version"`
}

func putRow(key string, value any) (platform.Put, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return platform.Put{}, Error.Wrap(err)
	}
	return platform.Put{Key: key, Value: data}, nil
}

func readRow(row platform.Row, into any) error {
	if err := json.Unmarshal(row.Value, into); err != nil {
		return Error.New("row %s: %w", row.Key, err)
	}
	return nil
}
