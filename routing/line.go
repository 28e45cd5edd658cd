package routing

// Line fits y = Base + Slope*x to observations, forgetting old ones, and leans
// on a prior while there are few. Neither coefficient is ever negative.
type Line struct {
	Base  float64
	Slope float64

	options LineOptions
	weight  float64
	sumX    float64
	sumY    float64
	sumXX   float64
	sumXY   float64
}

// LineOptions configures a Line.
type LineOptions struct {
	// Base and Slope are the prior.
	Base  float64
	Slope float64
	// Scale is a typical value of x.
	Scale float64
	// Prior is the weight of the prior, in observations.
	Prior float64
	// Forget is the factor that each observation puts on the earlier ones.
	Forget float64
}

// NewLine returns the prior.
func NewLine(o LineOptions) *Line {
	return &Line{Base: o.Base, Slope: o.Slope, options: o}
}

// At returns the fitted value at x.
func (l *Line) At(x float64) float64 { return l.Base + l.Slope*x }

// Weight returns the number of observations that are remembered.
func (l *Line) Weight() float64 { return l.weight }

// Observe takes in one observation with a weight of at most 1.
func (l *Line) Observe(x, y, weight float64) {
	l.forget()
	l.weight += weight
	l.sumX += weight * x
	l.sumY += weight * y
	l.sumXX += weight * x * x
	l.sumXY += weight * x * y
	l.fit()
}

// SetPrior replaces the prior, which counts less with each observation.
func (l *Line) SetPrior(base, slope float64) {
	l.options.Base = base
	l.options.Slope = slope
	l.fit()
}

func (l *Line) forget() {
	l.weight *= l.options.Forget
	l.sumX *= l.options.Forget
	l.sumY *= l.options.Forget
	l.sumXX *= l.options.Forget
	l.sumXY *= l.options.Forget
}

// fit solves the normal equations of the least squares with the prior as ridge.
func (l *Line) fit() {
	o := l.options
	scale := o.Scale * o.Scale
	n := l.weight + o.Prior
	xx := l.sumXX + o.Prior*scale
	y := l.sumY + o.Prior*o.Base
	xy := l.sumXY + o.Prior*scale*o.Slope
	determinant := n*xx - l.sumX*l.sumX
	if determinant <= 0 {
		return
	}
	l.Base = (y*xx - l.sumX*xy) / determinant
	l.Slope = (n*xy - l.sumX*y) / determinant
	switch {
	case l.Slope < 0:
		l.Slope = 0
		l.Base = y / n
	case l.Base < 0:
		l.Base = 0
		l.Slope = xy / xx
	}
}
