package slopes

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Report is the result of the measurement.
type Report struct {
	WindowSeconds float64 `json:"windowSeconds"`
	// HeartbeatSeconds is zero if the daemons' default is used.
	HeartbeatSeconds float64  `json:"heartbeatSeconds,omitempty"`
	Processors       int      `json:"processors"`
	Series           []Series `json:"series"`
}

// Series holds the results of varying one quantity.
type Series struct {
	Name string `json:"name"`
	// Varied describes the quantity x.
	Varied string  `json:"varied"`
	Points []Point `json:"points"`
	Slopes []Slope `json:"slopes"`
}

// Point holds the figures measured at one x.
type Point struct {
	X       float64  `json:"x"`
	Figures []Figure `json:"figures"`
}

// Figure is one measured value.
type Figure struct {
	Name  string  `json:"name"`
	Unit  string  `json:"unit"`
	Value float64 `json:"value"`
}

// Slope is the linear fit of one figure.
type Slope struct {
	Figure string `json:"figure"`
	Unit   string `json:"unit"`
	// AtZero is the value of the line at x = 0, PerUnit its growth per unit of x.
	AtZero  float64 `json:"atZero"`
	PerUnit float64 `json:"perUnit"`
	// R2 is the coefficient of determination.
	R2 float64 `json:"r2"`
}

// WriteText implements report.Report.
func (r *Report) WriteText(w io.Writer) error {
	fmt.Fprintf(w, "windows of %g s on %d processors\n", r.WindowSeconds, r.Processors)
	for _, s := range r.Series {
		fmt.Fprintf(w, "\n%s: x = %s\n", s.Name, s.Varied)
		if err := s.writeTable(w); err != nil {
			return err
		}
	}
	return nil
}

func (s Series) writeTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(table, "figure\tunit\t")
	for _, p := range s.Points {
		fmt.Fprintf(table, "x=%g\t", p.X)
	}
	fmt.Fprint(table, "at 0\tper x\tR2\t\n")
	for i, slope := range s.Slopes {
		fmt.Fprintf(table, "%s\t%s\t", slope.Figure, slope.Unit)
		for _, p := range s.Points {
			fmt.Fprintf(table, "%.4g\t", p.Figures[i].Value)
		}
		fmt.Fprintf(table, "%.4g\t%.4g\t%.3f\t\n", slope.AtZero, slope.PerUnit, slope.R2)
	}
	return table.Flush()
}
