package service

// Echo is the response to a call. It holds what the service received.
type Echo struct {
	ID     string `json:"id"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Query  string `json:"query"`
	Body   string `json:"body"`
}
