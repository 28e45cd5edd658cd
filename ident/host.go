package ident

// Host names one entry host. It is unique in the whole system and is reused by a restarted process of the same host.
type Host string
