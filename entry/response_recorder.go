package entry

import (
	"net/http"

	"github.com/cornelyard/cornelyard/claim"
)

// maxStoredResponseBytes limits the size of a response stored for repeated requests.
const maxStoredResponseBytes = 4 << 20

// responseRecorder records the response of a non-idempotent call.
type responseRecorder struct {
	status      int
	contentType string
	body        []byte
	oversized   bool
}

func (r *responseRecorder) setHead(status int, header http.Header) {
	r.status = status
	r.contentType = header.Get("Content-Type")
}

func (r *responseRecorder) add(p []byte) {
	if r.oversized || len(r.body)+len(p) > maxStoredResponseBytes {
		r.oversized, r.body = true, nil
		return
	}
	r.body = append(r.body, p...)
}

// response returns the recorded response, or nil if it was too large.
func (r *responseRecorder) response() *claim.StoredResponse {
	if r.oversized {
		return nil
	}
	return &claim.StoredResponse{Status: r.status, ContentType: r.contentType, Body: r.body}
}
