package engine

// RequestFaults are faults of individual requests. Those of a request are determined
// when it arrives.
type RequestFaults struct {
	// Hang accepts the request but never responds.
	Hang bool `json:"hang,omitempty"`
	// CloseReused closes the connection after reading the request if the connection
	// carried an earlier request.
	CloseReused bool `json:"closeReused,omitempty"`
	// CutAfterTokens aborts the connection after that many tokens.
	CutAfterTokens int `json:"cutAfterTokens,omitempty"`
	// SwapResponses makes pairs of requests receive each other's responses.
	SwapResponses bool `json:"cross,omitempty"`
	// RepeatFrame sends the event of the token at this offset twice.
	RepeatFrame int `json:"repeatFrame,omitempty"`
	// SkipFrame omits the event of the token at this offset.
	SkipFrame int `json:"skipFrame,omitempty"`
	// WrongID responds with an ID that no caller used.
	WrongID bool `json:"wrongID,omitempty"`
	// NeverEnd leaves the response open after its last token.
	NeverEnd bool `json:"neverEnd,omitempty"`
	// ResponseDelayMs delays the response without delaying the run.
	ResponseDelayMs int `json:"lateMs,omitempty"`
}
