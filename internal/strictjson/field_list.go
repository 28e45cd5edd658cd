package strictjson

import (
	"reflect"
	"strings"
)

// fieldList holds the JSON fields of a struct in declaration order.
type fieldList []field

func fieldsOf(t reflect.Type) fieldList {
	var fields fieldList
	for i := range t.NumField() {
		tag := t.Field(i).Tag.Get("json")
		name, options, _ := strings.Cut(tag, ",")
		if name == "-" || name == "" {
			continue
		}
		optional := strings.Contains(options, "omitempty") || strings.Contains(options, "omitzero")
		fields = append(fields, field{name: name, index: i, required: !optional})
	}
	return fields
}

func (l fieldList) find(name string) (field, bool) {
	for _, f := range l {
		if f.name == name {
			return f, true
		}
	}
	return field{}, false
}

func (l fieldList) names() []string {
	names := make([]string, 0, len(l))
	for _, f := range l {
		names = append(names, f.name)
	}
	return names
}
