package strictjson

import (
	"encoding/json"
	"errors"
	"reflect"
	"strings"

	"github.com/cornelyard/cornelyard/finding"
)

// maxQuotedBytes limits the length of a value quoted in a message.
const maxQuotedBytes = 32

// Decode decodes data into the value that into points to and returns all findings.
// Values without a fault are set even if others have findings.
func Decode(file string, data []byte, into any) finding.List {
	d := &decoder{file: file, data: data}
	root, err := parse(data)
	if err != nil {
		d.addSyntaxError(err)
		return d.findings
	}
	d.decode("", root, reflect.ValueOf(into).Elem())
	d.findings.Sort()
	return d.findings
}

// decoder collects the findings of one text.
type decoder struct {
	file     string
	data     []byte
	findings finding.List
}

func (d *decoder) addSyntaxError(err error) {
	var syntax *syntaxError
	if errors.As(err, &syntax) {
		d.add("", syntax.offset, syntax.message, "")
	}
}

func (d *decoder) add(path Path, offset int, message, allowed string) {
	position := PositionAt(d.data, offset)
	d.findings = append(d.findings, finding.Finding{
		File:    d.file,
		Path:    string(path),
		Line:    position.Line,
		Column:  position.Column,
		Message: message,
		Allowed: allowed,
	})
}

func (d *decoder) source(n *node) []byte { return d.data[n.offset:n.end] }

func (d *decoder) decode(path Path, n *node, v reflect.Value) {
	if _, ok := v.Addr().Interface().(json.Unmarshaler); ok {
		d.decodeUnmarshaler(path, n, v)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.decodeObject(path, n, v)
	case reflect.Slice:
		d.decodeArray(path, n, v)
	case reflect.Map:
		d.decodeMap(path, n, v)
	default:
		d.decodeScalar(path, n, v)
	}
}

func (d *decoder) decodeUnmarshaler(path Path, n *node, v reflect.Value) {
	allowed := ""
	if describer, ok := v.Addr().Interface().(FormatDescriber); ok {
		allowed = describer.JSONFormat()
	}
	if n.kind == nullNode {
		d.add(path, n.offset, "null is not allowed", allowed)
		return
	}
	if err := json.Unmarshal(d.source(n), v.Addr().Interface()); err != nil {
		d.add(path, n.offset, "got "+d.quote(n), allowed)
	}
}

// quote returns the source text of the value, shortened to maxQuotedBytes.
func (d *decoder) quote(n *node) string {
	raw := d.source(n)
	if len(raw) > maxQuotedBytes {
		return string(raw[:maxQuotedBytes]) + "..."
	}
	return string(raw)
}

func (d *decoder) decodeObject(path Path, n *node, v reflect.Value) {
	if !d.expectKind(path, n, objectNode) {
		return
	}
	fields := fieldsOf(v.Type())
	seen := make(map[string]bool, len(n.members))
	for _, m := range n.members {
		memberPath := path.Field(m.name)
		if d.reportDuplicate(memberPath, m, seen) {
			continue
		}
		f, ok := fields.find(m.name)
		if !ok {
			d.add(memberPath, m.offset, "unknown field", strings.Join(fields.names(), ", "))
			continue
		}
		d.decode(memberPath, m.value, v.Field(f.index))
	}
	for _, f := range fields {
		if f.required && !seen[f.name] {
			d.add(path.Field(f.name), n.offset, "the field is missing", "")
		}
	}
}

func (d *decoder) reportDuplicate(path Path, m member, seen map[string]bool) bool {
	if seen[m.name] {
		d.add(path, m.offset, "the name is given twice", "")
		return true
	}
	seen[m.name] = true
	return false
}

func (d *decoder) decodeArray(path Path, n *node, v reflect.Value) {
	if !d.expectKind(path, n, arrayNode) {
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(n.elements), len(n.elements)))
	for i, e := range n.elements {
		d.decode(path.Index(i), e, v.Index(i))
	}
}

func (d *decoder) decodeMap(path Path, n *node, v reflect.Value) {
	if !d.expectKind(path, n, objectNode) {
		return
	}
	v.Set(reflect.MakeMapWithSize(v.Type(), len(n.members)))
	seen := make(map[string]bool, len(n.members))
	for _, m := range n.members {
		memberPath := path.Field(m.name)
		if d.reportDuplicate(memberPath, m, seen) {
			continue
		}
		value := reflect.New(v.Type().Elem()).Elem()
		d.decode(memberPath, m.value, value)
		key := reflect.ValueOf(m.name).Convert(v.Type().Key())
		v.SetMapIndex(key, value)
	}
}

func (d *decoder) decodeScalar(path Path, n *node, v reflect.Value) {
	if n.kind == nullNode {
		d.add(path, n.offset, "null is not allowed", describeKind(v.Kind()))
		return
	}
	if err := json.Unmarshal(d.source(n), v.Addr().Interface()); err != nil {
		d.add(path, n.offset, "got "+d.describe(n), describeKind(v.Kind()))
	}
}

func (d *decoder) expectKind(path Path, n *node, kind nodeKind) bool {
	if n.kind == kind {
		return true
	}
	d.add(path, n.offset, "got "+d.describe(n), string(kind))
	return false
}

func (d *decoder) describe(n *node) string {
	if n.kind == numberNode {
		return "the number " + string(d.source(n))
	}
	return string(n.kind)
}

func describeKind(kind reflect.Kind) string {
	switch kind {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}
