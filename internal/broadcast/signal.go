// Package broadcast wakes all goroutines that wait for the same change.
package broadcast

// Signal wakes those that wait for its next notification. It is not safe for concurrent
// use: the mutex that guards the changed state guards it too.
type Signal struct {
	next chan struct{}
}

// NewSignal returns a signal that nobody waits for.
func NewSignal() Signal { return Signal{next: make(chan struct{})} }

// Next returns a channel that is closed at the next notification.
func (s *Signal) Next() <-chan struct{} { return s.next }

// Notify wakes all that wait.
func (s *Signal) Notify() {
	close(s.next)
	s.next = make(chan struct{})
}
