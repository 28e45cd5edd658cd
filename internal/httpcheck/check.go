// Package httpcheck rejects responses that net/http accepts although they are not valid HTTP/1.1.
package httpcheck

import (
	"io"
	"net/http"
	"slices"

	"github.com/zeebo/errs"
	"golang.org/x/net/http/httpguts"
)

// Error is the class of all errors of this package: nothing that such a response says can be relied on.
var Error = errs.Class("invalid response")

// ErrFolded means that a line of a response's head goes on with the one before it.
var ErrFolded = Error.New("a field name begins with a space, or a line is folded")

// maxStatus is the highest status that is valid (RFC 9110, section 15).
const maxStatus = 599

// Head returns an error unless the head of a response is valid and its status final.
func Head(r *http.Response) error {
	if r.StatusCode < http.StatusOK || r.StatusCode > maxStatus {
		return Error.New("status %03d is none of a final response", r.StatusCode)
	}
	return fieldNames(r.Header)
}

// Body returns the body of a response, which ends with an error if invalid trailers follow it.
func Body(r *http.Response) io.ReadCloser {
	if !slices.Contains(r.TransferEncoding, "chunked") {
		return r.Body
	}
	return &checkedBody{ReadCloser: r.Body, response: r}
}

// IsUnframed reports whether a response has a body that ends with its connection, because it has
// neither a length nor chunks.
func IsUnframed(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0 && r.Body != http.NoBody
}

// fieldNames returns an error if a field's name is not a token (RFC 9110, section 5.6.2). net/http takes
// names with spaces, which other readers of the head may take for a field without them.
func fieldNames(fields http.Header) error {
	for name := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return Error.New("field name %q", name)
		}
	}
	return nil
}
