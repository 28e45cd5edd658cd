package routing

// LinearFit fits y = Base + Slope*x by least squares with exponential decay. While
// there are few observations, a prior dominates the fit. Neither coefficient is
// ever negative.
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

// NewLinearFit returns a fit that equals the prior.
func NewLinearFit(o LinearFitOptions) *LinearFit {
	return &LinearFit{Base: o.Base, Slope: o.Slope, options: o}
}

// At returns the fitted value at x.
func (l *LinearFit) At(x float64) float64 { return l.Base + l.Slope*x }

// Weight returns the decayed number of observations.
func (l *LinearFit) Weight() float64 { return l.weight }

// Observe adds one observation; weight is at most 1.
func (l *LinearFit) Observe(x, y, weight float64) {
	l.decay()
	l.weight += weight
	l.sumX += weight * x
	l.sumY += weight * y
	l.sumXX += weight * x * x
	l.sumXY += weight * x * y
	l.fit()
}

// SetPrior replaces the prior, whose influence shrinks with each observation.
func (l *LinearFit) SetPrior(base, slope float64) {
	l.options.Base = base
	l.options.Slope = slope
	l.fit()
}

func (l *LinearFit) decay() {
	l.weight *= l.options.Decay
	l.sumX *= l.options.Decay
	l.sumY *= l.options.Decay
	l.sumXX *= l.options.Decay
	l.sumXY *= l.options.Decay
}

// fit solves the normal equations of the least-squares problem, regularised
// towards the prior (ridge regression).
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
