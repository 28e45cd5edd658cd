package standin

import (
	"bytes"
	"io"
	"net/http"
)

// BufferBody reads the whole body and replaces it with an unread copy. net/http
// detects a closed connection only after the body has been read.
func BufferBody(r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(body))
	return body, err
}
