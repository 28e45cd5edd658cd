package routing

// LinearFitOptions configures a Line.
type LinearFitOptions struct {
	// Base and Slope are the coefficients of the prior.
	Base  float64
	Slope float64
	// Scale is a typical value of x; it scales the weight of the prior slope.
	Scale float64
	// PriorWeight is the weight of the prior as a number of observations.
	PriorWeight float64
	// Decay is the factor by which each observation reduces the weight of all
	// earlier ones.
	Decay float64
}
