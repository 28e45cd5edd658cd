package finding

import (
	"fmt"
	"strings"
)

// Finding is one fault in an input file.
type Finding struct {
	File string `json:"file"`
	// Path is the location inside the JSON value, such as "shares.acme" or "teams[2]";
	// empty means the whole file.
	Path string `json:"path,omitempty"`
	// Line and Column count from 1; zero means unknown.
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
	// Message describes the fault.
	Message string `json:"message"`
	// Allowed describes the permitted values.
	Allowed string `json:"allowed,omitempty"`
}

// String returns the finding on one line that begins with its location.
func (f Finding) String() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&b, ":%d:%d", f.Line, f.Column)
	}
	b.WriteString(": ")
	if f.Path != "" {
		fmt.Fprintf(&b, "%s: ", f.Path)
	}
	b.WriteString(f.Message)
	if f.Allowed != "" {
		fmt.Fprintf(&b, " (allowed: %s)", f.Allowed)
	}
	return b.String()
}
