package entry

import (
	"net/http"

	"github.com/cornelyard/cornelyard/claim"
)

// maxStoredAnswerBytes bounds the answer that is kept for a resend.
const maxStoredAnswerBytes = 4 << 20

// answerRecorder collects the answer of a non-idempotent call.
type answerRecorder struct {
	status      int
	contentType string
	body        []byte
	oversized   bool
}

func (k *answerRecorder) setHead(status int, header http.Header) {
	k.status = status
	k.contentType = header.Get("Content-Type")
}

func (k *answerRecorder) add(p []byte) {
	if k.oversized || len(k.body)+len(p) > maxStoredAnswerBytes {
		k.oversized, k.body = true, nil
		return
	}
	k.body = append(k.body, p...)
}

// answer returns the collected answer, or nil if it was too large to keep.
func (k *answerRecorder) answer() *claim.Answer {
	if k.oversized {
		return nil
	}
	return &claim.Answer{Status: k.status, ContentType: k.contentType, Body: k.body}
}
