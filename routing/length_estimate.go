package routing

// LengthEstimate estimates the number of tokens that a request generates, as quantiles.
type LengthEstimate struct {
	// Low, Mid and High are quantiles and Mean the mean, in tokens.
	Low    int
	Median int
	High   int
	Mean   int
}

// capped limits the estimate to the caller's own limit; zero means none.
func (l LengthEstimate) capped(limit int) LengthEstimate {
	if limit <= 0 {
		return l
	}
	return LengthEstimate{
		Low:    min(l.Low, limit),
		Median: min(l.Median, limit),
		High:   min(l.High, limit),
		Mean:   min(l.Mean, limit),
	}
}
