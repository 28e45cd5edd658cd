package standin

import (
	"bytes"
	"io"
	"net/http"
)

// BufferBody reads the whole body and puts it back, unread. The server notices
// a closed connection only once the body has been read.
func BufferBody(r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(body))
	return body, err
}
