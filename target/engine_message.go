package target

import "encoding/json"

// engineMessage is what is read of an engine's JSON, whole or in one frame.
type engineMessage struct {
	ID      string         `json:"id"`
	Choices []engineChoice `json:"choices"`
	Usage   *Usage         `json:"usage"`
}

// engineChoice is one choice of a frame.
type engineChoice struct {
	FinishReason *string     `json:"finish_reason"`
	Text         string      `json:"text"`
	Delta        engineDelta `json:"delta"`
}

// engineDelta is what a chat frame adds.
type engineDelta struct {
	Content   string          `json:"content"`
	ToolCalls json.RawMessage `json:"tool_calls"`
}

// hasToken reports whether the frame carries generated text.
func (m *engineMessage) hasToken() bool {
	for _, choice := range m.Choices {
		if choice.Text != "" || choice.Delta.Content != "" || len(choice.Delta.ToolCalls) > 0 {
			return true
		}
	}
	return false
}

// isFinish reports whether the frame tells why the generation ended and carries
// no text of its own.
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

// isUsage reports whether the frame carries nothing but the usage.
func (m *engineMessage) isUsage() bool {
	return len(m.Choices) == 0 && m.Usage != nil
}
