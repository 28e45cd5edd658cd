package claim

// StoredResponse is a whole answer that is kept for resends.
type StoredResponse struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body"`
}
