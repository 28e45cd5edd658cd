package settings

import (
	"encoding/json"

	"github.com/cornelyard/cornelyard/platform"
)

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
