package entry

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/cornelyard/cornelyard/outcome"
)

// bodyError describes an invalid request body.
type bodyError struct {
	// param is the invalid field of the body; it may be empty.
	param   string
	message string
}

func (f *bodyError) refusal() *refusal {
	return &refusal{Refusal: outcome.Refuse(outcome.BadRequest, f.message, 0), param: f.param}
}

// newJSONError describes a decoding error without quoting the body.
func newJSONError(err error) *bodyError {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return &bodyError{message: fmt.Sprintf("the body is not valid JSON, at byte %d", syntax.Offset)}
	}
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		return &bodyError{param: mismatch.Field, message: fmt.Sprintf("expected %s, found %s", mismatch.Type, mismatch.Value)}
	}
	return &bodyError{message: "the body is not valid JSON"}
}
