package strictjson

import (
	"encoding/json"
	"errors"
	"reflect"

	"github.com/zeebo/errs"

	"github.com/cornelyard/cornelyard/finding"
)

// DescribeError returns an error of the JSON decoder in terms of JSON.
func DescribeError(err error) error {
	var wrongType *json.UnmarshalTypeError
	if !errors.As(err, &wrongType) {
		return err
	}
	if wrongType.Field == "" {
		return errs.New("found a JSON %s, want %s", wrongType.Value, jsonKind(wrongType.Type))
	}
	return errs.New("%s is a JSON %s, want %s", wrongType.Field, wrongType.Value, jsonKind(wrongType.Type))
}

// jsonKind returns what is decoded into values of a type.
func jsonKind(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Struct, reflect.Map:
		return "an object"
	case reflect.Slice, reflect.Array:
		return "a list"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	default:
		return "a whole number within the bounds of its field"
	}
}

// Unreadable returns the finding of a text that the JSON decoder rejects: it is not JSON, or has a value of the
// wrong type.
func Unreadable(file string, data []byte, err error) finding.Finding {
	f := finding.Finding{File: file, Message: DescribeError(err).Error()}
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	offset := int64(0)
	switch {
	case errors.As(err, &syntax):
		offset = syntax.Offset
	case errors.As(err, &wrongType):
		offset, f.Path = wrongType.Offset, wrongType.Field
	default:
		return f
	}
	at := PositionAt(data, int(offset))
	f.Line, f.Column = at.Line, at.Column
	return f
}
