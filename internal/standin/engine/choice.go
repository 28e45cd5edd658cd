package engine

// choice is the only choice of a response. Which field is set depends on the API and
// on whether the response is streamed.
type choice struct {
	Index        int            `json:"index"`
	Text         *string        `json:"text,omitempty"`
	Message      *choiceMessage `json:"message,omitempty"`
	Delta        *choiceMessage `json:"delta,omitempty"`
	FinishReason *string        `json:"finish_reason"`
}

// choiceMessage is the content of a chat choice.
type choiceMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}
