package engine

// kind is the API of a request.
type kind int

const (
	chatKind kind = iota
	completionKind
)

func (k kind) idPrefix() string {
	if k == completionKind {
		return "cmpl-"
	}
	return "chatcmpl-"
}

func (k kind) object(stream bool) string {
	switch {
	case k == completionKind:
		return "text_completion"
	case stream:
		return "chat.completion.chunk"
	default:
		return "chat.completion"
	}
}
