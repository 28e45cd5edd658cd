package routing

// Length estimates the number of tokens that a request generates, as quantiles.
type Length struct {
	// Low, Mid and High are quantiles and Mean the mean, in tokens.
	Low  int
	Mid  int
	High int
	Mean int
}

// capped limits the estimate to the caller's own limit; zero means none.
func (l Length) capped(limit int) Length {
	if limit <= 0 {
		return l
	}
	return Length{
		Low:  min(l.Low, limit),
		Mid:  min(l.Mid, limit),
		High: min(l.High, limit),
		Mean: min(l.Mean, limit),
	}
}
