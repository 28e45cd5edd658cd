package ident

// Dispatch identifies one attempt to run a request on a target. The target returns it with the response, so that the response can be matched to its request.
type Dispatch string
