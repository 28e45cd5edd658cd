package entry

import "github.com/cornelyard/cornelyard/quarantine"

// generationRequest holds what the scheduler needs to know of a request to an
// engine.
type generationRequest struct {
	model        string
	stream       bool
	promptTokens int
	// maxTokens limits the generated tokens of all choices together; zero means
	// no limit.
	maxTokens int
	prefix    []uint64
	// parts identifies the parts of the prompt, in order.
	parts []quarantine.Digest
}

// maxChoices is the largest number of choices per request.
const maxChoices = 128

func newGenerationRequest(model string, prompt []byte, maxTokens int, choices *int, stream bool) (*generationRequest, *bodyError) {
	if choices != nil && (*choices < 1 || *choices > maxChoices) {
		return nil, &bodyError{"n", "the number of choices is out of range"}
	}
	if choices != nil {
		maxTokens *= *choices
	}
	return &generationRequest{
		model:        model,
		stream:       stream,
		promptTokens: estimateTokens(len(prompt)),
		maxTokens:    maxTokens,
		prefix:       prefixHashes(prompt),
	}, nil
}
