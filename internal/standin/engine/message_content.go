package engine

import "encoding/json"

// Content is the text of a message. Its JSON form is a string or a list of text parts.
type Content string

// UnmarshalJSON implements json.Unmarshaler.
func (c *Content) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err == nil {
		*c = Content(text)
		return nil
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return err
	}
	for _, share := range parts {
		*c += Content(share.Text)
	}
	return nil
}
