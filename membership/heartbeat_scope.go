package membership

// heartbeatScope selects the hosts to which a heartbeat is sent.
type heartbeatScope int

const (
	scopeLocalDataCentre heartbeatScope = iota
	scopeAllHosts
)
