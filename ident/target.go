package ident

// Target identifies a back end: a model engine or an instance of a plain service.
type Target string
