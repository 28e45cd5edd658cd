package settings

import (
	"encoding/json"
	"time"
)

// Duration is a time.Duration with a JSON encoding such as "1.5s".
type Duration time.Duration

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// JSONFormat implements strictjson.FormatDescriber.
func (Duration) JSONFormat() string { return `a duration such as "1.5s"` }

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return Error.New("a duration is a string such as \"1.5s\"")
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return Error.Wrap(err)
	}
	*d = Duration(parsed)
	return nil
}
