package route

// Kind determines whether a request may run more than once.
type Kind int

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests may run at most once.
	NonIdempotent
	// Stream requests are answered by server-sent events. Like non-idempotent ones
	// they run at most once, unless their route is resumable.
	Stream
)

// String returns the kind's name in logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case NonIdempotent:
		return "non-idempotent"
	default:
		return "stream"
	}
}
