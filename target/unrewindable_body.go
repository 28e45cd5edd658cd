package target

import (
	"bytes"
	"io"
	"net/http"
)

// onceBody is a request body that net/http cannot rewind.
type unrewindableBody struct {
	reader io.Reader
}

// Read implements io.Reader.
func (b *unrewindableBody) Read(p []byte) (int, error) { return b.reader.Read(p) }

// Close implements io.Closer.
func (b *unrewindableBody) Close() error { return nil }

// setBody gives the request a body that cannot be rewound. net/http replays a
// GET, HEAD or OPTIONS request without a body, so these get an empty body of
// the same kind; net/http probes it and sends no body. Other methods are
// replayed only for the headers that outgoingHeader removes.
func setBody(r *http.Request, body []byte) {
	r.GetBody = nil
	r.ContentLength = int64(len(body))
	if len(body) > 0 || methodLacksBody(r.Method) {
		r.Body = &unrewindableBody{reader: bytes.NewReader(body)}
		return
	}
	r.Body = http.NoBody
}

func methodLacksBody(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodDelete, http.MethodOptions:
		return true
	default:
		return false
	}
}
