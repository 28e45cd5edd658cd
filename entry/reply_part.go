package entry

// replyPart is what a reply holds at one moment.
type replyPart struct {
	// head is nil if it has not arrived yet.
	head  *replyHead
	bytes []byte
	ended bool
	// refusal is the end's; nil says that the answer was whole.
	refusal *refusal
}
