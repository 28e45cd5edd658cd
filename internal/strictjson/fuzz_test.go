package strictjson

import (
	"encoding/json"
	"reflect"
	"testing"
)

// FuzzDecode checks that a text without findings decodes to the same value with
// encoding/json, and that every finding has a location and a message.
func FuzzDecode(f *testing.F) {
	f.Add(`{"name":"a","on":true,"inner":{"count":2},"list":["x"],"shares":{"a":1.5}}`)
	f.Add("{\"name\":\"\\ud800\"}")
	f.Add("{\"name\":\"a\",\n\"list\":[,]}")
	f.Add(`{"name":"a","inner":{"count":1e2}}`)
	f.Add(`{"name":"a"}:`)
	f.Fuzz(func(t *testing.T, text string) {
		var strict, standard outer
		findings := Decode("f", []byte(text), &strict)
		if len(findings) > 0 {
			for _, found := range findings {
				if found.Line < 1 || found.Column < 1 || found.Message == "" {
					t.Errorf("finding %+v", found)
				}
			}
			return
		}
		if err := json.Unmarshal([]byte(text), &standard); err != nil {
			t.Fatalf("accepted, but encoding/json says %v", err)
		}
		if !reflect.DeepEqual(strict, standard) {
			t.Errorf("got %+v, encoding/json got %+v", strict, standard)
		}
	})
}
