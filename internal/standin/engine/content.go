package engine

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// BytesPerToken is the length of a prompt token in bytes.
const BytesPerToken = 4

// BlockTokens is the length of a block of the prefix cache in tokens.
const BlockTokens = 64

var lengthMarkerPattern = regexp.MustCompile(`\[\[tokens=(\d{1,6})\]\]`)

// Token returns the token at the offset, from 1, of the answer to the prompt.
func Token(prompt string, offset int) string {
	return token(xxhash.Sum64String(prompt), offset)
}

func token(digest uint64, offset int) string {
	var d xxhash.Digest
	d.ResetWithSeed(digest)
	_, _ = d.WriteString(strconv.Itoa(offset))
	return fmt.Sprintf("%08x ", uint32(d.Sum64()))
}

// ResponseText returns the whole answer of n tokens to the prompt.
func ResponseText(prompt string, n int) string {
	digest := xxhash.Sum64String(prompt)
	var text strings.Builder
	for offset := 1; offset <= n; offset++ {
		text.WriteString(token(digest, offset))
	}
	return text.String()
}

// ChatPrompt returns the prompt that the messages of a chat are joined to.
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

// LengthMarker returns the text that makes an answer n tokens long, unless the
// request's limit is lower.
func LengthMarker(n int) string {
	return fmt.Sprintf("[[tokens=%d]]", n)
}

// answerLength returns the number of tokens of the answer and whether the limit
// cut it. Zero means no limit. Without a marker the answer is as long as the
// limit allows.
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

// promptTokens returns the length of the prompt in tokens.
func promptTokens(prompt string) int {
	return (len(prompt) + BytesPerToken - 1) / BytesPerToken
}
