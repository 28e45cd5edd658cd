package eventlog

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("eventlog")

// maxLineBytes bounds a line that is read.
const maxLineBytes = 1 << 20

// Line is one line of a log.
type Line struct {
	At      time.Time
	Host    string
	Event   string
	Message string
	// Fields holds everything else.
	Fields map[string]any
}

// Reader collects the lines of logs that belong to one request: those about the
// request itself, and those of its hosts about the targets that it met, while it was
// in service.
type Reader struct {
	request string
	own     []Line
	targets []Line
	// Skipped counts the lines that are no log lines.
	Skipped int
}

// NewReader returns a reader for the lines of one request.
func NewReader(request string) *Reader { return &Reader{request: request} }

// Read takes in one log. Text before the JSON object of a line is passed over, since
// collectors put their own marks there.
func (r *Reader) Read(log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		r.take(scanner.Bytes())
	}
	return Error.Wrap(scanner.Err())
}

func (r *Reader) take(text []byte) {
	brace := bytes.IndexByte(text, '{')
	if brace < 0 {
		r.Skipped++
		return
	}
	line, ok := parseLine(text[brace:])
	if !ok {
		r.Skipped++
		return
	}
	switch {
	case line.Fields[FieldRequest] == r.request:
		r.own = append(r.own, line)
	case line.Event == EventTargetEjected || line.Event == EventTargetRestored || line.Event == EventTargetChanged:
		r.targets = append(r.targets, line)
	}
}

func parseLine(text []byte) (Line, bool) {
	var fields map[string]any
	if json.Unmarshal(text, &fields) != nil {
		return Line{}, false
	}
	line := Line{Fields: fields}
	line.Host = takeText(fields, FieldHost)
	line.Event = takeText(fields, FieldEvent)
	line.Message = takeText(fields, "message")
	written := takeText(fields, "time")
	at := takeText(fields, FieldAt)
	if at == "" {
		at = written
	}
	var err error
	if line.At, err = time.Parse(time.RFC3339Nano, at); err != nil {
		return Line{}, false
	}
	return line, true
}

func takeText(fields map[string]any, name string) string {
	text, _ := fields[name].(string)
	delete(fields, name)
	return text
}

// Lines returns the lines in the order of their times.
func (r *Reader) Lines() []Line {
	if len(r.own) == 0 {
		return nil
	}
	story := slices.Clone(r.own)
	first, last := span(r.own)
	met := make(map[any]bool)
	for _, line := range r.own {
		if target, ok := line.Fields[FieldTarget]; ok {
			met[target] = true
		}
	}
	for _, line := range r.targets {
		if met[line.Fields[FieldTarget]] && !line.At.Before(first) && !line.At.After(last) {
			story = append(story, line)
		}
	}
	slices.SortStableFunc(story, func(a, b Line) int { return a.At.Compare(b.At) })
	return story
}

// storyMargin is how much earlier and later than a request the lines about its
// targets are of interest.
const storyMargin = 2 * time.Second

func span(lines []Line) (first, last time.Time) {
	first, last = lines[0].At, lines[0].At
	for _, line := range lines {
		if line.At.Before(first) {
			first = line.At
		}
		if line.At.After(last) {
			last = line.At
		}
	}
	return first.Add(-storyMargin), last.Add(storyMargin)
}

// hiddenFields say nothing to a reader of a story.
var hiddenFields = []string{"level", "part", FieldRequest}

// Text returns the line's fields as name=value, in the order of their names.
func (l Line) Text() string {
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		if !slices.Contains(hiddenFields, name) {
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
