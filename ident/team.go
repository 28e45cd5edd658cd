package ident

// Team identifies the customer that a request is served for.
type Team string
