package entry

import (
	"net/http"

	"github.com/cornelyard/cornelyard/claim"
)

// maxStoredAnswerBytes limits the size of an answer stored for repeated requests.
const maxStoredAnswerBytes = 4 << 20

// answerRecorder records the answer of a non-idempotent call.
type answerRecorder struct {
	status      int
	contentType string
	body        []byte
	oversized   bool
}

func (r *answerRecorder) setHead(status int, header http.Header) {
	r.status = status
	r.contentType = header.Get("Content-Type")
}

func (r *answerRecorder) add(p []byte) {
	if r.oversized || len(r.body)+len(p) > maxStoredAnswerBytes {
		r.oversized, r.body = true, nil
		return
	}
	r.body = append(r.body, p...)
}

// answer returns the recorded answer, or nil if it was too large.
func (r *answerRecorder) answer() *claim.StoredResponse {
	if r.oversized {
		return nil
	}
	return &claim.StoredResponse{Status: r.status, ContentType: r.contentType, Body: r.body}
}
