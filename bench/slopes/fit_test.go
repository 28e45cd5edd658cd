package slopes

import (
	"math"
	"testing"
)

func TestFit(t *testing.T) {
	for _, c := range []struct {
		name                string
		x, y                []float64
		atZero, perUnit, r2 float64
	}{
		{"a line", []float64{1, 2, 4}, []float64{5, 7, 11}, 3, 2, 1},
		{"a constant", []float64{1, 2, 4}, []float64{5, 5, 5}, 5, 0, 0},
		{"one point", []float64{3}, []float64{5}, 5, 0, 0},
		{"scatter", []float64{0, 1, 2}, []float64{0, 3, 0}, 1, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			var points []Point
			for i := range c.x {
				points = append(points, Point{X: c.x[i], Figures: []Figure{{Name: "f", Unit: "u", Value: c.y[i]}}})
			}
			got := fit(points)[0]
			want := Slope{Figure: "f", Unit: "u", AtZero: c.atZero, PerUnit: c.perUnit, R2: c.r2}
			for _, d := range []float64{got.AtZero - want.AtZero, got.PerUnit - want.PerUnit, got.R2 - want.R2} {
				if math.Abs(d) > 1e-9 {
					t.Fatalf("got %+v, want %+v", got, want)
				}
			}
		})
	}
}
