package engine

// choice is the one choice of an answer; which field is set depends on its form.
type choice struct {
	Index        int            `json:"index"`
	Text         *string        `json:"text,omitempty"`
	Message      *choiceMessage `json:"message,omitempty"`
	Delta        *choiceMessage `json:"delta,omitempty"`
	FinishReason *string        `json:"finish_reason"`
}

// answerMessage is the content of a choice of a chat.
type choiceMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}
