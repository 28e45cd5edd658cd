package claim

// token uniquely identifies a claim; it is never reused.
type token string
