package claim

// Answer is a whole answer that is kept for resends.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body"`
}
