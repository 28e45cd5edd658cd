package cli

import "time"

// parseTime returns the time of a flag, which is a time (RFC 3339) or a duration before now, or
// the zero time if the flag is empty.
func parseTime(flag, text string, now time.Time) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	if ago, err := time.ParseDuration(text); err == nil {
		return now.Add(-ago), nil
	}
	at, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return time.Time{}, &usageError{message: flag + " is neither a time (RFC 3339) nor a duration"}
	}
	return at, nil
}
