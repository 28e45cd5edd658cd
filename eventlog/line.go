package eventlog

import (
	"encoding/json"
	"slices"
	"strings"
	"time"
)

// Line is one parsed log line.
type Line struct {
	At      time.Time
	Host    string
	Event   string
	Message string
	// Fields holds the remaining fields.
	Fields map[string]any
}

func parseLine(text []byte) (Line, bool) {
	var fields map[string]any
	if json.Unmarshal(text, &fields) != nil {
		return Line{}, false
	}
	line := Line{Fields: fields}
	line.Host = removeString(fields, FieldHost)
	line.Event = removeString(fields, FieldEvent)
	line.Message = removeString(fields, "message")
	loggedAt := removeString(fields, "time")
	at := removeString(fields, FieldAt)
	if at == "" {
		at = loggedAt
	}
	var err error
	if line.At, err = time.Parse(time.RFC3339Nano, at); err != nil {
		return Line{}, false
	}
	return line, true
}

func removeString(fields map[string]any, name string) string {
	text, _ := fields[name].(string)
	delete(fields, name)
	return text
}

// Text returns the line's fields as name=value pairs, sorted by name.
func (l Line) Text() string {
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		if !slices.Contains(omittedFields, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var b strings.Builder
	for _, name := range names {
		value, err := json.Marshal(l.Fields[name])
		if err != nil {
			continue
		}
		b.WriteString(" " + name + "=" + string(value))
	}
	return strings.TrimPrefix(b.String(), " ")
}

// omittedFields are left out of Text because they don't help to follow a request.
var omittedFields = []string{"level", "part", FieldRequest}
