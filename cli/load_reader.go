package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/cornelyard/cornelyard/eventlog"
	"github.com/cornelyard/cornelyard/loadtable"
)

// loadReader adds the requests in logs to a table. It holds one line at a time.
type loadReader struct {
	table  *loadtable.Table
	period loadtable.Period

	lines   int
	skipped int
	// firstSkipped is the place of the first skipped line and what is wrong with it.
	firstSkipped string
	// droppedLines and droppedRequests were lost at the limit of a host's log.
	droppedLines    int64
	droppedRequests int64
	passedOn        int
}

// read reads one log.
func (r *loadReader) read(name string, log io.Reader) error {
	scanner := eventlog.NewScanner(log)
	for scanner.Scan() {
		r.lines++
		if err := r.addLine(scanner.Object()); err != nil {
			r.skipped++
			if r.firstSkipped == "" {
				r.firstSkipped = fmt.Sprintf("%s:%d: %v", name, scanner.Number(), err)
			}
		}
	}
	if err := scanner.Err(); err != nil {
		return Error.New("%s:%d: %w", name, scanner.Number()+1, err)
	}
	return nil
}

// addLine parses only the lines that the table needs; the others must be JSON.
func (r *loadReader) addLine(object []byte) error {
	switch {
	case eventlog.Mentions(object, eventlog.EventEnded):
		return r.addRequest(object)
	case eventlog.Mentions(object, eventlog.EventLinesDropped):
		return r.addDropped(object)
	case !json.Valid(object):
		return errNoJSON
	default:
		return nil
	}
}

var errNoJSON = errors.New("the line is not JSON")

func (r *loadReader) addDropped(object []byte) error {
	dropped, err := eventlog.ParseDroppedLines(object)
	if err != nil {
		return err
	}
	if dropped.Event == eventlog.EventLinesDropped && r.period.Contains(dropped.At) {
		r.droppedLines += dropped.Lines
		r.droppedRequests += dropped.Requests
	}
	return nil
}

func (r *loadReader) addRequest(object []byte) error {
	request, err := eventlog.ParseEndedRequest(object)
	if err != nil {
		return err
	}
	if request.Event != eventlog.EventEnded || !r.period.Contains(request.At) {
		return nil
	}
	if request.Peer != "" {
		r.passedOn++
		return nil
	}
	r.table.Add(&request)
	return nil
}

// reportGaps prints what the table lacks.
func (r *loadReader) reportGaps(s *Session) {
	if r.skipped > 0 {
		s.PrintErrf("%d lines were skipped because they are no log lines; the first is %s\n", r.skipped, r.firstSkipped)
	}
	if r.droppedLines > 0 {
		s.PrintErrf("hosts dropped %d lines, of %d requests that were refused, failed or retried; the table lacks these\n", r.droppedLines, r.droppedRequests)
	}
	if r.passedOn > 0 {
		s.PrintErrf("%d lines are about requests that were passed on; they count at the host that responded\n", r.passedOn)
	}
	if r.table.Full() {
		s.PrintErrf("there are more than %d groups of requests; the others are counted together in the last row\n", loadtable.MaxGroups)
	}
}
