package quarantine

// Content identifies what a request consists of, as a whole and in parts.
type Content struct {
	// Whole identifies the whole content. Zero means that it is unknown.
	Whole Digest
	// Parts identifies the parts of the prompt that requests with other content may have
	// too, each together with the model.
	Parts []Digest
}

// maxParts bounds the parts of a prompt that are told apart.
const maxParts = 64

// NewContent returns the content of a request with the parts of its prompt, in order. The
// last part belongs to the request or its session alone and is left out.
func NewContent(whole Digest, parts []Digest) Content {
	if len(parts) == 0 {
		return Content{Whole: whole}
	}
	return Content{Whole: whole, Parts: parts[:min(len(parts)-1, maxParts)]}
}
