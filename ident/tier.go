package ident

// Tier identifies a priority class. Its rank is declared in the settings; rank 0 is served first.
type Tier string
