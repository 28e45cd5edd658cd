package routing

// LengthEstimate is an estimate of the number of output tokens of a request.
type LengthEstimate struct {
	// Low, Median and High are the quantiles lowQuantile, midQuantile and
	// highQuantile in tokens; Mean is the mean.
	Low    int
	Median int
	High   int
	Mean   int
}

// capped limits the estimate to the caller's token limit; zero means no limit.
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
