package entry

import (
	"net/http"

	"github.com/cornelyard/cornelyard/claim"
)

// maxKeptBytes bounds the answer that is kept for a resend.
const maxKeptBytes = 4 << 20

// keeper collects the answer of a non-idempotent call.
type keeper struct {
	status      int
	contentType string
	body        []byte
	oversized   bool
}

func (k *keeper) begin(status int, header http.Header) {
	k.status = status
	k.contentType = header.Get("Content-Type")
}

func (k *keeper) add(p []byte) {
	if k.oversized || len(k.body)+len(p) > maxKeptBytes {
		k.oversized, k.body = true, nil
		return
	}
	k.body = append(k.body, p...)
}

// answer returns the collected answer, or nil if it was too large to keep.
func (k *keeper) answer() *claim.StoredResponse {
	if k.oversized {
		return nil
	}
	return &claim.StoredResponse{Status: k.status, ContentType: k.contentType, Body: k.body}
}
