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
