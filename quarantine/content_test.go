package quarantine

import (
	"slices"
	"testing"
)

func TestLastPartOfPromptIsNoPartOfOthers(t *testing.T) {
	for name, c := range map[string]struct{ parts, want []Digest }{
		"no part":    {},
		"one part":   {parts: []Digest{1}},
		"many parts": {parts: []Digest{1, 2, 3}, want: []Digest{1, 2}},
	} {
		if got := NewContent(9, c.parts); got.Whole != 9 || !slices.Equal(got.Parts, c.want) {
			t.Errorf("%s: got %+v, want the parts %v", name, got, c.want)
		}
	}
}

// storeEntries is how many entries one transaction of the platform's store may have.
const storeEntries = 100

func TestTrialOfLongestPromptFitsOneTransaction(t *testing.T) {
	longest := NewContent(1, make([]Digest, 1000))
	if entries := 2 * len(longest.digests()); entries > storeEntries {
		t.Errorf("a check and a write for each digest are %d entries, want at most %d", entries, storeEntries)
	}
}
