package trial

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// A host that misreads the record of a trial begins a second one of the same content. The rows
// were recorded by go run ./bench soak --former COMMIT --record internal/proto/testdata/COMMIT.
func TestRecordsOfFormerBuildsSurvive(t *testing.T) {
	for _, commit := range []string{"42ff4b0"} {
		data, err := os.ReadFile(filepath.Join("..", "internal", "proto", "testdata", filepath.Clean(commit), "rows.json"))
		if err != nil {
			t.Fatal(err)
		}
		var rows map[string]map[string]string
		if err := json.Unmarshal(data, &rows); err != nil {
			t.Fatal(err)
		}
		if len(rows["cornelyard-trials"]) == 0 {
			t.Errorf("no trial of %s was recorded", commit)
		}
		for key, value := range rows["cornelyard-trials"] {
			var before map[string]any
			if err := json.Unmarshal([]byte(value), &before); err != nil {
				t.Fatal(err)
			}
			checkRecordSurvives(t, key, []byte(value), before)
		}
	}
}

func checkRecordSurvives(t *testing.T, key string, value []byte, before map[string]any) {
	t.Helper()
	r, err := decodeRecord(value)
	if err != nil {
		t.Fatal(err)
	}
	again, err := r.encode(time.UnixMilli(r.AtMs))
	if err != nil {
		t.Fatal(err)
	}
	var after map[string]any
	if err := json.Unmarshal(again, &after); err != nil {
		t.Fatal(err)
	}
	for field := range before {
		if after[field] != before[field] {
			t.Errorf("%s: the field %s is %v, want %v", key, field, after[field], before[field])
		}
	}
}
