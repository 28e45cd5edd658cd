package cli

import (
	"encoding/json"
	"strconv"
	"strings"
	"unicode"

	"github.com/cornelyard/cornelyard/eventlog"
	"github.com/cornelyard/cornelyard/loadtable"
)

// loadOutput prints the rows of a load table.
type loadOutput struct {
	session *Session
	by      []loadtable.Dimension
	rows    []loadtable.Row
}

// writeText prints the table, and whether its counts are estimated.
func (o loadOutput) writeText() {
	table := newTable(o.session.Stdout)
	var head []any
	for _, dimension := range o.by {
		head = append(head, strings.ToUpper(strings.ReplaceAll(string(dimension), "-", " ")))
	}
	writeRow(table, append(head, "LINES", "REQUESTS", "SERVED", "LATE", "REFUSED", "FAILED",
		"QUEUE P50", "QUEUE P95", "FIRST P50", "FIRST P95")...)
	estimated := false
	for i := range o.rows {
		r := &o.rows[i]
		var cells []any
		for _, value := range r.Values {
			cells = append(cells, printable(value))
		}
		writeRow(table, append(cells, r.Lines, r.Requests, r.Served, lateText(r), r.Refused, r.Failed,
			milliseconds(r.Queued, r.Queued.Median), milliseconds(r.Queued, r.Queued.P95),
			milliseconds(r.FirstEvent, r.FirstEvent.Median), milliseconds(r.FirstEvent, r.FirstEvent.P95))...)
		estimated = estimated || r.Estimated()
	}
	_ = table.Flush()
	if estimated {
		o.session.Printf("Counts are estimated: of the requests that are served at the first attempt, one in %d is logged.\n", eventlog.ServedSampleInterval)
	}
}

// lateText returns the late requests of a row, if any line of it says whether it was late.
func lateText(r *loadtable.Row) string {
	if !r.LateKnown() {
		return noValue
	}
	return strconv.FormatInt(r.Late, 10)
}

func milliseconds(q loadtable.Quantiles, ms int64) string {
	if !q.Known {
		return noValue
	}
	return strconv.FormatInt(ms, 10)
}

// printable replaces what would break the table or act on a terminal.
func printable(text string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsPrint(r) {
			return r
		}
		return unicode.ReplacementChar
	}, text)
}

// writeJSON prints one JSON object per row.
func (o loadOutput) writeJSON() error {
	encoder := json.NewEncoder(o.session.Stdout)
	encoder.SetEscapeHTML(false)
	for i := range o.rows {
		r := &o.rows[i]
		object := map[string]any{
			"lines": r.Lines, "requests": r.Requests, "served": r.Served, "late": nil,
			"refused": r.Refused, "failed": r.Failed, "estimated": r.Estimated(),
			"queued_ms": quantilesObject(r.Queued), "first_ms": quantilesObject(r.FirstEvent),
		}
		if r.LateKnown() {
			object["late"] = r.Late
		}
		for i, dimension := range o.by {
			object[strings.ReplaceAll(string(dimension), "-", "_")] = r.Values[i]
		}
		if err := encoder.Encode(object); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}

// quantilesObject returns the quantiles for JSON, or nil if they are not known.
func quantilesObject(q loadtable.Quantiles) any {
	if !q.Known {
		return nil
	}
	return map[string]int64{"median": q.Median, "p95": q.P95}
}
