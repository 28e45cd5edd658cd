package engine

// RequestFaults act on single requests; each is fixed when the request arrives.
type RequestFaults struct {
	// Hang takes the request and never answers.
	Hang bool `json:"hang,omitempty"`
	// CloseReused closes the connection after reading the request if the
	// connection carried a request before.
	CloseReused bool `json:"closeReused,omitempty"`
	// CutAfterTokens cuts the connection after that many tokens.
	CutAfterTokens int `json:"cutAfterTokens,omitempty"`
	// SwapResponses lets pairs of requests get each other's answers.
	SwapResponses bool `json:"cross,omitempty"`
	// RepeatFrame sends the frame of this token twice.
	RepeatFrame int `json:"repeatFrame,omitempty"`
	// SkipFrame leaves out the frame of this token.
	SkipFrame int `json:"skipFrame,omitempty"`
	// WrongID answers with an id that nobody sent.
	WrongID bool `json:"wrongID,omitempty"`
	// NeverEnd leaves the answer open after its last token.
	NeverEnd bool `json:"neverEnd,omitempty"`
	// ResponseDelayMs delays the answer, but not the run.
	ResponseDelayMs int `json:"lateMs,omitempty"`
}
