package ident

// Target names one back end: a model engine or a plain service.
type Target string
