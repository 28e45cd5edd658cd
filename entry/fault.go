package entry

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/cornelyard/cornelyard/outcome"
)

// fault is what is wrong with a request's body, and where.
type fault struct {
	// param names the member of the body; it may be empty.
	param   string
	message string
}

func (f *fault) refusal() *refusal {
	return &refusal{Refusal: outcome.Refuse(outcome.BadRequest, f.message, 0), param: f.param}
}

// jsonFault describes a decoding error without repeating the body.
func jsonFault(err error) *fault {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return &fault{message: fmt.Sprintf("the body is not valid JSON, at byte %d", syntax.Offset)}
	}
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		return &fault{param: mismatch.Field, message: fmt.Sprintf("expected %s, found %s", mismatch.Type, mismatch.Value)}
	}
	return &fault{message: "the body is not valid JSON"}
}
