package strictjson

import (
	"strings"
	"testing"
)

type inner struct {
	Count int `json:"count"`
}

type outer struct {
	Name   string             `json:"name"`
	On     bool               `json:"on,omitempty"`
	Inner  inner              `json:"inner,omitzero"`
	List   []string           `json:"list,omitempty"`
	Shares map[string]float64 `json:"shares,omitempty"`
}

func TestDecodeCollectsEveryFinding(t *testing.T) {
	cases := []struct {
		name string
		text string
		want []string
	}{
		{"good", `{"name":"a","inner":{"count":2},"list":["x"],"shares":{"a":1.5}}`, nil},
		{"unknown field", "{\n  \"name\": \"a\",\n  \"nme\": 1\n}", []string{"f:3:3: nme: unknown field (allowed: name, on, inner, list, shares)"}},
		{"several", "{\n \"on\": 1,\n \"inner\": {\"count\": 1.5},\n \"list\": [\"x\", 2]\n}", []string{
			"f:1:1: name: the field is missing",
			"f:2:8: on: got the number 1 (allowed: true or false)",
			"f:3:21: inner.count: got the number 1.5 (allowed: a whole number)",
			"f:4:16: list[1]: got the number 2 (allowed: a string)",
		}},
		{"case matters", `{"Name":"a"}`, []string{
			"f:1:1: name: the field is missing",
			"f:1:2: Name: unknown field (allowed: name, on, inner, list, shares)",
		}},
		{"twice", `{"name":"a","name":"b"}`, []string{"f:1:13: name: the name is given twice"}},
		{"null", `{"name":null}`, []string{"f:1:9: name: null is not allowed (allowed: a string)"}},
		{"not an object", `[]`, []string{"f:1:1: got an array (allowed: an object)"}},
		{"empty", ``, []string{"f:1:1: the text ends too early"}},
		{"cut", "{\"name\":\n", []string{"f:2:1: the text ends too early"}},
		{"syntax", "{\n \"name\" \"a\"}", []string{"f:2:9: invalid character '\"' after object key"}},
		{"trailing", `{"name":"a"} x`, []string{"f:1:14: invalid character 'x' after top-level value"}},
		{"bad UTF-8", "{\"name\":\"\xff\"}", []string{"f:1:10: the text is not valid UTF-8"}},
		{"a colon after the value", `{"name":"a"}:`, []string{"f:1:13: invalid character ':' after top-level value"}},
		{"too deep", strings.Repeat("[", 100) + strings.Repeat("]", 100), []string{"f:1:66: values are nested too deeply"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var v outer
			got := Decode("f", []byte(c.text), &v)
			if len(got) != len(c.want) {
				t.Fatalf("findings:\n%v\nwant:\n%v", got, strings.Join(c.want, "\n"))
			}
			for i, f := range got {
				if f.String() != c.want[i] {
					t.Errorf("finding %d:\n got %s\nwant %s", i, f, c.want[i])
				}
			}
		})
	}
}

func TestLocateReturnsNearestEnclosingValue(t *testing.T) {
	text := []byte("{\n \"shares\": {\n  \"acme\": 1\n }\n}")
	cases := map[Path]Position{
		"":             {1, 1},
		"shares.acme":  {3, 11},
		"shares.other": {2, 12},
		"list[3]":      {1, 1},
	}
	for path, want := range cases {
		if got := Locate(text, path); got != want {
			t.Errorf("Locate(%q) = %v, want %v", path, got, want)
		}
	}
}
