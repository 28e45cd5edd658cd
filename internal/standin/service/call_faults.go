package service

// CallFaults act on single calls, after the call was counted.
type CallFaults struct {
	// FailStatus answers with that status.
	FailStatus int `json:"failStatus,omitempty"`
	// Cut cuts the connection in place of the answer.
	Cut bool `json:"cut,omitempty"`
	// CutInBody cuts the connection in the middle of the answer.
	CutInBody bool `json:"cutInBody,omitempty"`
	// CloseReused closes the connection after reading the call if the
	// connection carried a call before.
	CloseReused bool `json:"closeReused,omitempty"`
	// Crash crashes the service.
	Crash bool `json:"crash,omitempty"`
	// WrongID answers with an id that nobody sent.
	WrongID bool `json:"wrongID,omitempty"`
	// Hang never answers.
	Hang bool `json:"hang,omitempty"`
}
