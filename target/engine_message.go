package target

import "encoding/json"

// engineMessage holds the fields that are read from an engine's JSON response or
// from one event of its stream.
type engineMessage struct {
	ID      string         `json:"id"`
	Choices []engineChoice `json:"choices"`
	Usage   *Usage         `json:"usage"`
}

// engineChoice is one choice of a response or of an event.
type engineChoice struct {
	FinishReason *string     `json:"finish_reason"`
	Text         string      `json:"text"`
	Delta        engineDelta `json:"delta"`
}

// engineDelta is the content that an event adds to a chat message.
type engineDelta struct {
	Content   string          `json:"content"`
	ToolCalls json.RawMessage `json:"tool_calls"`
}

// hasToken reports whether the event carries generated text or tool calls.
func (m *engineMessage) hasToken() bool {
	for _, choice := range m.Choices {
		if choice.Text != "" || choice.Delta.Content != "" || len(choice.Delta.ToolCalls) > 0 {
			return true
		}
	}
	return false
}

// isFinish reports whether the event carries a finish reason and no generated
// text.
func (m *engineMessage) isFinish() bool {
	if m.hasToken() {
		return false
	}
	for _, choice := range m.Choices {
		if choice.FinishReason != nil {
			return true
		}
	}
	return false
}

// isUsage reports whether the event carries only token usage.
func (m *engineMessage) isUsage() bool {
	return len(m.Choices) == 0 && m.Usage != nil
}
