package ident

// Host identifies an entry host. It is unique in the whole system. A process that is restarted on the same host uses the same identifier.
type Host string
