package ident

// Team names the customer that a request is served for.
type Team string
