package quota

// assumption is what a host assumes about a team if it starts without knowledge of
// earlier usage. Both values are parts of the limit.
type assumption struct {
	// used is assumed to have been used, evenly, in the preceding window.
	used float64
	// limit may be used in the first window.
	limit float64
}

var (
	normalAssumption = assumption{used: normalUsedShare, limit: normalStartShare}
	busyAssumption   = assumption{used: 1, limit: busyStartShare}
)

// busyStartShare is the part of the limit that a busy team may use in the first
// window after a start.
const busyStartShare = 0.6
