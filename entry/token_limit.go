package entry

// tokenLimit is a limit on generated tokens with its parameter name.
type tokenLimit struct {
	param string
	value *int
}

// firstSetLimit returns the first limit that is set, or zero.
func firstSetLimit(limits ...tokenLimit) (int, *bodyError) {
	for _, limit := range limits {
		if limit.value == nil {
			continue
		}
		if *limit.value < 1 || *limit.value > maxTokensLimit {
			return 0, &bodyError{limit.param, "the limit on tokens is out of range"}
		}
		return *limit.value, nil
	}
	return 0, nil
}
