package routing

// LinearFit fits y = Base + Slope*x to observations, forgetting old ones, and leans
// on a prior while there are few. Neither coefficient is ever negative.
type LinearFit struct {
	Base  float64
	Slope float64

	options LinearFitOptions
	weight  float64
	sumX    float64
	sumY    float64
	sumXX   float64
	sumXY   float64
}

// LinearFitOptions configures a Line.
type LinearFitOptions struct {
	// Base and Slope are the prior.
	Base  float64
	Slope float64
	// Scale is a typical value of x.
	Scale float64
	// PriorWeight is the weight of the prior, in observations.
	PriorWeight float64
	// Decay is the factor that each observation puts on the earlier ones.
	Decay float64
}

// NewLinearFit returns the prior.
func NewLinearFit(o LinearFitOptions) *LinearFit {
	return &LinearFit{Base: o.Base, Slope: o.Slope, options: o}
}

// At returns the fitted value at x.
func (l *LinearFit) At(x float64) float64 { return l.Base + l.Slope*x }

// Weight returns the number of observations that are remembered.
func (l *LinearFit) Weight() float64 { return l.weight }

// Observe takes in one observation with a weight of at most 1.
func (l *LinearFit) Observe(x, y, weight float64) {
	l.forget()
	l.weight += weight
	l.sumX += weight * x
	l.sumY += weight * y
	l.sumXX += weight * x * x
	l.sumXY += weight * x * y
	l.fit()
}

// SetPrior replaces the prior, which counts less with each observation.
func (l *LinearFit) SetPrior(base, slope float64) {
	l.options.Base = base
	l.options.Slope = slope
	l.fit()
}

func (l *LinearFit) forget() {
	l.weight *= l.options.Decay
	l.sumX *= l.options.Decay
	l.sumY *= l.options.Decay
	l.sumXX *= l.options.Decay
	l.sumXY *= l.options.Decay
}

// fit solves the normal equations of the least squares with the prior as ridge.
func (l *LinearFit) fit() {
	o := l.options
	scale := o.Scale * o.Scale
	n := l.weight + o.PriorWeight
	xx := l.sumXX + o.PriorWeight*scale
	y := l.sumY + o.PriorWeight*o.Base
	xy := l.sumXY + o.PriorWeight*scale*o.Slope
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
