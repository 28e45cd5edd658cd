package service

// CallFaults are faults of individual calls. They apply after the call was recorded.
type CallFaults struct {
	// FailStatus responds with that status.
	FailStatus int `json:"failStatus,omitempty"`
	// Cut aborts the connection instead of responding.
	Cut bool `json:"cut,omitempty"`
	// CutInBody aborts the connection in the middle of the response.
	CutInBody bool `json:"cutInBody,omitempty"`
	// CloseReused closes the connection after reading the call if the connection
	// carried an earlier call.
	CloseReused bool `json:"closeReused,omitempty"`
	// Crash crashes the service.
	Crash bool `json:"crash,omitempty"`
	// WrongID responds with an ID that no caller used.
	WrongID bool `json:"wrongID,omitempty"`
	// Hang never responds.
	Hang bool `json:"hang,omitempty"`
}
