package eventlog

import (
	"io"
	"slices"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("eventlog")

// RequestReader collects the log lines that concern one request: those about the request
// itself, and state changes of the targets it was sent to, from around the time of
// the request.
type RequestReader struct {
	request      string
	requestLines []Line
	targetLines  []Line
	// Skipped counts the lines that could not be parsed as log lines.
	Skipped int
}

// NewRequestReader returns a RequestReader for the request with this ID.
func NewRequestReader(request string) *RequestReader { return &RequestReader{request: request} }

// Read reads one log. Text before the JSON object of a line is ignored, because log
// collectors add prefixes.
func (r *RequestReader) Read(log io.Reader) error {
	scanner := NewScanner(log)
	for scanner.Scan() {
		r.addLine(scanner.Object())
	}
	return scanner.Err()
}

func (r *RequestReader) addLine(object []byte) {
	line, ok := parseLine(object)
	if !ok {
		r.Skipped++
		return
	}
	switch {
	case line.Fields[FieldRequest] == r.request:
		r.requestLines = append(r.requestLines, line)
	case line.Event == EventTargetEjected || line.Event == EventTargetRestored || line.Event == EventTargetChanged:
		r.targetLines = append(r.targetLines, line)
	}
}

// Lines returns the collected lines in chronological order.
func (r *RequestReader) Lines() []Line {
	if len(r.requestLines) == 0 {
		return nil
	}
	lines := slices.Clone(r.requestLines)
	first, last := timeRange(r.requestLines)
	usedTargets := make(map[any]bool)
	for _, line := range r.requestLines {
		if target, ok := line.Fields[FieldTarget]; ok {
			usedTargets[target] = true
		}
	}
	for _, line := range r.targetLines {
		if usedTargets[line.Fields[FieldTarget]] && !line.At.Before(first) && !line.At.After(last) {
			lines = append(lines, line)
		}
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
	return lines
}

// targetLineMargin is the time before and after a request in which the lines about its
// targets are included.
const targetLineMargin = 2 * time.Second

func timeRange(lines []Line) (first, last time.Time) {
	first, last = lines[0].At, lines[0].At
	for _, line := range lines {
		if line.At.Before(first) {
			first = line.At
		}
		if line.At.After(last) {
			last = line.At
		}
	}
	return first.Add(-targetLineMargin), last.Add(targetLineMargin)
}
