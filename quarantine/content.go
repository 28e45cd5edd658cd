package quarantine

import "time"

// Content identifies what a request consists of, as a whole and in parts.
type Content struct {
	// Whole identifies the whole content. Zero means that it is unknown.
	Whole Digest
	// Parts identifies the parts of the prompt that requests with other content may have
	// too, each together with the model.
	Parts []Digest
}

// maxParts bounds the parts of a prompt that are distinguished, so that a check and a write for
// each of them and the whole content fit one transaction of the platform's store.
const maxParts = 48

// NewContent returns the content of a request with the parts of its prompt, in order. The
// last part belongs to the request or its session alone and is left out.
func NewContent(whole Digest, parts []Digest) Content {
	if len(parts) == 0 {
		return Content{Whole: whole}
	}
	return Content{Whole: whole, Parts: parts[:min(len(parts)-1, maxParts)]}
}

// digests returns all that identifies the content, the whole first.
func (c Content) digests() []Digest {
	digests := make([]Digest, 0, 1+len(c.Parts))
	if c.Whole != 0 {
		digests = append(digests, c.Whole)
	}
	return append(digests, c.Parts...)
}

// Runs returns the runs of a request's content and its parts.
func (c Content) Runs(duration time.Duration, trial bool) []Run {
	var runs []Run
	for i, digest := range c.digests() {
		runs = append(runs, Run{Digest: digest, Part: i > 0 || c.Whole == 0, Duration: duration, Trial: trial})
	}
	return runs
}
