package config_test

import (
	"fmt"
	"os"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/cornelyard/cornelyard/config"
	"github.com/cornelyard/cornelyard/settings"
)

// fieldRow is one row of the table in docs/HOST-SETTINGS.md.
type fieldRow struct {
	field, kind, defaultValue string
}

var rowPattern = regexp.MustCompile("^\\| `([A-Za-z.]+)` \\| ([a-z ]+) \\| (`[^`]*`|required|empty) \\| \\S.* \\|$")

// TestDocumentationMatchesTypes compares the documented fields, types and defaults
// with those of config.Host.
func TestDocumentationMatchesTypes(t *testing.T) {
	text, err := os.ReadFile("../docs/HOST-SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	var documented []fieldRow
	for line := range strings.Lines(string(text)) {
		if m := rowPattern.FindStringSubmatch(strings.TrimSpace(line)); m != nil {
			documented = append(documented, fieldRow{field: m[1], kind: m[2], defaultValue: strings.Trim(m[3], "`")})
		}
	}
	declared := fieldRows("", reflect.ValueOf(config.Host{PeerAddress: "peerAddress"}.WithDefaults()))
	if !slices.Equal(documented, declared) {
		t.Errorf("the table has\n%v\nthe types say\n%v", documented, declared)
	}
}

func fieldRows(prefix string, v reflect.Value) []fieldRow {
	var found []fieldRow
	for i := range v.NumField() {
		name, options, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
		value := v.Field(i)
		if value.Kind() == reflect.Struct {
			found = append(found, fieldRows(prefix+name+".", value)...)
			continue
		}
		r := fieldRow{field: prefix + name, kind: kindOf(value), defaultValue: "required"}
		if options != "" {
			r.defaultValue = defaultOf(value)
		}
		found = append(found, r)
	}
	return found
}

func kindOf(v reflect.Value) string {
	switch {
	case v.Type() == reflect.TypeFor[settings.Duration]():
		return "duration"
	case v.Kind() == reflect.Slice:
		return "list of string"
	case v.Kind() == reflect.String:
		return "string"
	default:
		return "number"
	}
}

func defaultOf(v reflect.Value) string {
	if d, ok := v.Interface().(settings.Duration); ok {
		return d.Std().String()
	}
	if v.Kind() == reflect.Slice {
		return "empty"
	}
	return fmt.Sprint(v.Interface())
}
