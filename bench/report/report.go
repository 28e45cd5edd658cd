package report

import (
	"encoding/json"
	"io"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("report")

// Report is the result of one measurement. Its JSON form has every figure.
type Report interface {
	// WriteText writes the figures for a person.
	WriteText(w io.Writer) error
}

// Format names the form of a written report.
type Format string

const (
	// JSON is one indented JSON document.
	JSON Format = "json"
	// Text is a plain table.
	Text Format = "text"
)

// Formats lists the formats.
var Formats = []string{string(JSON), string(Text)}

// Write writes the report.
func Write(w io.Writer, format Format, r Report) error {
	if format == JSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return Error.Wrap(encoder.Encode(r))
	}
	return Error.Wrap(r.WriteText(w))
}
