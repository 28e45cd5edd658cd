package service

// Echo is the answer to a call: what the service received.
type Echo struct {
	ID     string `json:"id"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Query  string `json:"query"`
	Body   string `json:"body"`
}
