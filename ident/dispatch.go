package ident

// Dispatch names the single attempt to run a request on a target. The target echoes it, which ties an answer to its request.
type Dispatch string
