package membership

// Source provides the current view.
type Source interface {
	// View returns the current view; it is never nil.
	View() *View
	// Changed returns a channel that is closed when the view is replaced.
	Changed() <-chan struct{}
}
