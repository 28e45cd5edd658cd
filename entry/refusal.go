package entry

import "github.com/cornelyard/cornelyard/outcome"

// refusal is an outcome.Refusal with the request parameter that caused it, if any.
type refusal struct {
	*outcome.Refusal
	param string
}

func wrapRefusal(r *outcome.Refusal) *refusal {
	if r == nil {
		return nil
	}
	return &refusal{Refusal: r}
}

func newRefusal(reason outcome.Reason, message string) *refusal {
	return wrapRefusal(outcome.Refuse(reason, message, 0))
}
