package claim

// token tells a claim from all others; it is never used twice.
type token string
