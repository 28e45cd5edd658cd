package claim

// StoredResponse is a complete response that is stored for repeated requests.
type StoredResponse struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body"`
}
