package httpcheck

import (
	"errors"
	"io"
	"net/http"
)

// checkedBody is a body with chunks, after which trailers may follow.
type checkedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if invalid := fieldNames(b.response.Trailer); invalid != nil {
		return n, invalid
	}
	return n, err
}
