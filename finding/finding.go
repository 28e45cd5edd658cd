package finding

import (
	"fmt"
	"strings"
)

// Finding is one fault in a file.
type Finding struct {
	File string `json:"file"`
	// Path is the place inside the JSON value, such as "shares.acme" or
	// "teams[2]"; it is empty for the whole file.
	Path string `json:"path,omitempty"`
	// Line and Column count from 1; zero means that the place is unknown.
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
	// Message says what is wrong.
	Message string `json:"message"`
	// Allowed says what would be right.
	Allowed string `json:"allowed,omitempty"`
}

// String returns the finding on one line, with its place first.
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
