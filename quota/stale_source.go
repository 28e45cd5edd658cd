package quota

// staleSource is a source whose reports are missing, or were for long within the
// window.
type staleSource struct {
	source
	hosts int
	// recovered is set if its reports arrive again.
	recovered bool
}
