package engine

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// BytesPerToken is the size of a prompt token in bytes.
const BytesPerToken = 4

// BlockTokens is the size of a prefix cache block in tokens.
const BlockTokens = 64

var lengthMarkerPattern = regexp.MustCompile(`\[\[tokens=(\d{1,6})\]\]`)

// Token returns the token at the offset, counted from 1, of the response to the
// prompt.
func Token(prompt string, offset int) string {
	return token(xxhash.Sum64String(prompt), offset)
}

func token(digest uint64, offset int) string {
	var d xxhash.Digest
	d.ResetWithSeed(digest)
	_, _ = d.WriteString(strconv.Itoa(offset))
	return fmt.Sprintf("%08x ", uint32(d.Sum64()))
}

// ResponseText returns the complete response to the prompt, n tokens long.
func ResponseText(prompt string, n int) string {
	digest := xxhash.Sum64String(prompt)
	var text strings.Builder
	for offset := 1; offset <= n; offset++ {
		text.WriteString(token(digest, offset))
	}
	return text.String()
}

// ChatPrompt joins the messages of a chat into one prompt.
func ChatPrompt(messages []Message) string {
	var prompt strings.Builder
	for _, message := range messages {
		prompt.WriteString(message.Role)
		prompt.WriteString("\n")
		prompt.WriteString(string(message.Content))
		prompt.WriteString("\n")
	}
	return prompt.String()
}

// LengthMarker returns prompt text that sets the length of the response to n tokens. A
// lower limit in the request takes precedence.
func LengthMarker(n int) string {
	return fmt.Sprintf("[[tokens=%d]]", n)
}

// responseLength returns the length of the response in tokens and whether the limit
// truncated it. A limit of zero means no limit. Without a marker the response is as
// long as the limit, or DefaultTokens if there is no limit.
func responseLength(prompt string, limit int) (tokens int, limited bool) {
	marked := lengthMarkerPattern.FindStringSubmatch(prompt)
	if marked == nil && limit > 0 {
		return limit, true
	}
	tokens = DefaultTokens
	if marked != nil {
		tokens, _ = strconv.Atoi(marked[1])
	}
	if limit > 0 && tokens > limit {
		return limit, true
	}
	return tokens, false
}

// promptTokens returns the size of the prompt in tokens.
func promptTokens(prompt string) int {
	return (len(prompt) + BytesPerToken - 1) / BytesPerToken
}
