package finding

import (
	"cmp"
	"slices"
	"strings"
)

// List is a list of findings; a non-empty list is an error.
type List []Finding

// Error implements error. It returns one finding per line.
func (l List) Error() string {
	lines := make([]string, 0, len(l))
	for _, f := range l {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// Err returns the list as an error, or nil if it is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}

// Sort orders the list by file and location.
func (l List) Sort() {
	slices.SortStableFunc(l, func(a, b Finding) int {
		return cmp.Or(
			cmp.Compare(a.File, b.File),
			cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Column, b.Column),
			cmp.Compare(a.Path, b.Path),
			cmp.Compare(a.Message, b.Message),
		)
	})
}

// Without returns the findings that are not in known.
func (l List) Without(known List) List {
	var rest List
	for _, f := range l {
		if !slices.Contains(known, f) {
			rest = append(rest, f)
		}
	}
	return rest
}
