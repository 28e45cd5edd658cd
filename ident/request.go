package ident

// Request identifies an accepted request. The entry that accepts the request assigns it.
type Request string
