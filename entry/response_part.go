package entry

// responsePart is what a reply holds at one moment.
type responsePart struct {
	// head is nil if it has not arrived yet.
	head  *responseHead
	bytes []byte
	ended bool
	// refusal is the end's; nil says that the answer was whole.
	refusal *refusal
}
