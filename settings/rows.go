package settings

import (
	"encoding/json"

	"github.com/cornelyard/cornelyard/storage"
)

func putRow(key string, value any) (storage.Put, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return storage.Put{}, Error.Wrap(err)
	}
	return storage.Put{Key: key, Value: data}, nil
}

func readRow(row storage.Row, into any) error {
	if err := json.Unmarshal(row.Value, into); err != nil {
		return Error.New("row %s: %w", row.Key, err)
	}
	return nil
}
