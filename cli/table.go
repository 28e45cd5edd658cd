package cli

import (
	"fmt"
	"io"
	"text/tabwriter"
)

const (
	// columnGap is the number of spaces between two columns.
	columnGap = 2
	// noValue is shown where there is no value.
	noValue = "-"
)

func newTable(out io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)
}

// writeRow writes one row of a table.
func writeRow(table io.Writer, cells ...any) {
	for i, cell := range cells {
		if i > 0 {
			_, _ = io.WriteString(table, "\t")
		}
		_, _ = fmt.Fprint(table, cell)
	}
	_, _ = io.WriteString(table, "\n")
}
