package slopes

import (
	"context"
	"fmt"
	"os"
	"slices"
)

// series varies one quantity and measures the figures at each value.
type series struct {
	name   string
	varied string
	// values returns the values of x in ascending order.
	values func(options) []float64
	// measurePoint runs a cluster and measures it at one x.
	measurePoint func(ctx context.Context, o options, x float64) ([]Figure, error)
}

func allSeries() []series {
	return []series{
		hostsSeries(), dataCentresSeries(), teamsSeries(), targetsSeries(), queuedSeries(),
		requestsSeries(), streamsSeries(), tokensSeries(), claimsSeries(), changesSeries(),
	}
}

func seriesNames() []string {
	var names []string
	for _, s := range allSeries() {
		names = append(names, s.name)
	}
	return names
}

func selectSeries(names []string) []series {
	if len(names) == 0 {
		return allSeries()
	}
	return slices.DeleteFunc(allSeries(), func(s series) bool { return !slices.Contains(names, s.name) })
}

func (s series) measure(ctx context.Context, o options) (Series, error) {
	result := Series{Name: s.name, Varied: s.varied}
	for _, x := range s.values(o) {
		figures, err := s.measurePoint(ctx, o, x)
		if err != nil {
			return result, fmt.Errorf("%s at %g: %w", s.name, x, err)
		}
		fmt.Fprintf(os.Stderr, "slopes: %s at %g: %v\n", s.name, x, figures)
		result.Points = append(result.Points, Point{X: x, Figures: figures})
	}
	result.Slopes = fit(result.Points)
	return result, nil
}

func fixedValues(values ...float64) func(options) []float64 {
	return func(options) []float64 { return values }
}
