package ident

// Request names one accepted call. The entry that accepts the call chooses it.
type Request string
