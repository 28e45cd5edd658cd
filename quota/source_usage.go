package quota

// sourceUsage is what is known of the usage of one team at a source.
type sourceUsage struct {
	// window holds the usage within the window, or is nil if there was none. It is advanced
	// only when it is used.
	window *window
	// total is the last total that a host reported; known says that there was one.
	total float64
	known bool
	// assumed is what was counted since the reports of the source stopped.
	assumed float64
}

// repeats reports whether a host's report adds nothing to its last one.
func (s *sourceUsage) repeats(u Usage) bool { return s.known && s.total == u.Total && s.assumed == 0 }
