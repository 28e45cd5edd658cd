package entry

// verdict is what came of one grant.
type verdict struct {
	// again says that the request did not run and may be granted again.
	again bool
	// refusal is nil if the answer was whole.
	refusal *refusal
}

func done() verdict { return verdict{} }

func failed(r *refusal) verdict { return verdict{refusal: r} }

func tryAgain() verdict { return verdict{again: true} }
