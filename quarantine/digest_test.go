package quarantine

import "testing"

func TestDigestIdentifiesContent(t *testing.T) {
	original := NewDigest([]byte("body"), "acme", "POST", "/x")
	if again := NewDigest([]byte("body"), "acme", "POST", "/x"); again != original {
		t.Errorf("same content: got digests %s and %s, want the same", original, again)
	}
	others := map[string]Digest{
		"another body":    NewDigest([]byte("bodY"), "acme", "POST", "/x"),
		"another team":    NewDigest([]byte("body"), "acmf", "POST", "/x"),
		"another path":    NewDigest([]byte("body"), "acme", "POST", "/y"),
		"shifted borders": NewDigest([]byte("body"), "acm", "ePOST", "/x"),
	}
	for name, other := range others {
		if other == original {
			t.Errorf("%s: got the same digest %s", name, other)
		}
	}
}

// TestDigestOutlivesProcess guards digests that hosts exchange and store.
func TestContentIsTeamPathAndBody(t *testing.T) {
	original := ContentDigest("acme", "/x?y=1", []byte("body"))
	for name, other := range map[string]Digest{
		"another team":  ContentDigest("acmf", "/x?y=1", []byte("body")),
		"another path":  ContentDigest("acme", "/z?y=1", []byte("body")),
		"another query": ContentDigest("acme", "/x?y=2", []byte("body")),
		"another body":  ContentDigest("acme", "/x?y=1", []byte("bodY")),
	} {
		if other == original {
			t.Errorf("%s: got the same digest %s", name, other)
		}
	}
}

func TestDigestOutlivesProcess(t *testing.T) {
	if got, want := NewDigest([]byte("body"), "acme").String(), "6246a563dc31e141"; got != want {
		t.Errorf("got digest %s, want %s", got, want)
	}
}
