package target

import (
	"bytes"
	"io"
	"net/http"
)

// unrewindableBody is a request body that net/http cannot rewind.
type unrewindableBody struct {
	reader io.Reader
}

// Read implements io.Reader.
func (b *unrewindableBody) Read(p []byte) (int, error) { return b.reader.Read(p) }

// Close implements io.Closer.
func (b *unrewindableBody) Close() error { return nil }

// setBody sets a request body that cannot be rewound. A body that net/http recognizes as being in
// memory is written together with the head, with one system call. net/http may replay a
// request with a method such as GET, HEAD or OPTIONS if it has no body, so these
// get an empty unrewindable body, which net/http probes and does not send. Requests
// with other methods are replayed only if they carry one of the header fields that
// requestHeader removes.
func setBody(r *http.Request, body []byte) {
	r.GetBody = nil
	r.ContentLength = int64(len(body))
	switch {
	case len(body) > 0:
		r.Body = io.NopCloser(bytes.NewReader(body))
	case methodLacksBody(r.Method):
		r.Body = &unrewindableBody{reader: bytes.NewReader(nil)}
	default:
		r.Body = http.NoBody
	}
}

func methodLacksBody(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodDelete, http.MethodOptions:
		return true
	default:
		return false
	}
}
