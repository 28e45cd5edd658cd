// Package bounds holds the bounds of numbers and texts that come from outside. Beyond them a number is valid
// for its type but means nothing, and sums and products of it would overflow.
package bounds

import (
	"strconv"
	"strings"
	"time"
	"unicode"
)

// Bounds of numbers and texts.
const (
	// MaxSlots bounds the requests that one target runs at once.
	MaxSlots = 10_000
	// MaxCount bounds what is counted: tokens, connections, attempts and requests.
	MaxCount = 1 << 30
	// MaxRate bounds rates per second.
	MaxRate = 1e9
	// MaxDuration bounds times.
	MaxDuration = 365 * 24 * time.Hour
	// MaxAge bounds the time since a stored moment.
	MaxAge = 100 * MaxDuration
	// MaxUnixMs bounds moments in Unix milliseconds.
	MaxUnixMs = 1 << 53
	// MaxLabelBytes bounds names and labels, which are part of messages between hosts. The platform
	// bounds the keys of rows by the same length.
	MaxLabelBytes = 200
)

// IsName reports whether a text can name something.
func IsName(text string) bool { return text != "" && IsLabel(text) }

// IsLabel reports whether a text, which may be empty, can be used in messages, headers and logs.
func IsLabel(text string) bool {
	return len(text) <= MaxLabelBytes && !strings.ContainsFunc(text, func(r rune) bool { return !unicode.IsPrint(r) })
}

// Milliseconds converts a time; beyond MaxDuration it is cut off, and what is no number counts as zero.
func Milliseconds(ms float64) time.Duration {
	const limit = float64(MaxDuration / time.Millisecond)
	switch {
	case ms >= limit:
		return MaxDuration
	case ms <= -limit:
		return -MaxDuration
	case ms > 0 || ms < 0:
		return time.Duration(ms * float64(time.Millisecond))
	default:
		return 0
	}
}

// WholeMilliseconds is like Milliseconds.
func WholeMilliseconds(ms int64) time.Duration {
	limit := MaxDuration.Milliseconds()
	return time.Duration(min(max(ms, -limit), limit)) * time.Millisecond
}

// MillisecondsSince returns the time from a moment to a later one, both in milliseconds of the same clock,
// within 0 and MaxAge.
func MillisecondsSince(at, now int64) time.Duration {
	if at >= now {
		return 0
	}
	if at < now-MaxAge.Milliseconds() {
		return MaxAge
	}
	return time.Duration(now-at) * time.Millisecond
}

// IsCount reports whether a number can be one of requests.
func IsCount(n int) bool { return n >= 0 && n <= MaxCount }

// ParseCount parses a count. It returns zero unless the text is a positive number, which is cut off at MaxCount.
func ParseCount(text string) int {
	n, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil || n < 0 {
		return 0
	}
	return min(n, MaxCount)
}
