package entry

// responsePart is the result of one read from a responseBuffer.
type responsePart struct {
	// head is nil until it has been set.
	head  *responseHead
	bytes []byte
	ended bool
	// refusal is why the response ended incomplete. It is valid once ended is set;
	// nil means complete.
	refusal *refusal
}
