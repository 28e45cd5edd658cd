package entry

import "github.com/cornelyard/cornelyard/quarantine"

// messageParts identifies the messages of a chat, each together with the model. Requests
// with other content may have the same messages.
func messageParts(model string, messages []chatMessage) []quarantine.Digest {
	parts := make([]quarantine.Digest, 0, len(messages))
	for _, m := range messages {
		parts = append(parts, quarantine.NewDigest(m.Content, model, m.Role))
	}
	return parts
}
