package report

import (
	"encoding/json"
	"io"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("report")

// Report is the result of one measurement. Its JSON encoding contains every value.
type Report interface {
	// WriteText writes the values in human-readable form.
	WriteText(w io.Writer) error
}

// Format is an output format.
type Format string

const (
	// JSON is an indented JSON document.
	JSON Format = "json"
	// Text is a plain table.
	Text Format = "text"
)

// Formats lists the formats.
var Formats = []string{string(JSON), string(Text)}

// Write writes the report in the given format.
func Write(w io.Writer, format Format, r Report) error {
	if format == JSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return Error.Wrap(encoder.Encode(r))
	}
	return Error.Wrap(r.WriteText(w))
}
