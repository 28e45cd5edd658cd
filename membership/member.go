package membership

import "github.com/cornelyard/cornelyard/ident"

// State is how a member is seen from here.
type State string

const (
	// Alive: heartbeats arrive.
	Alive State = "alive"
	// Suspect: heartbeats are missing; the member still counts as an owner.
	Suspect State = "suspect"
	// Dead: the member doesn't count.
	Dead State = "dead"
)

// Member is one host as seen from here.
type Member struct {
	Host            ident.Host       `json:"host"`
	DataCentre      ident.DataCentre `json:"dataCentre"`
	PeerAddress     string           `json:"peerAddress"`
	OperatorAddress string           `json:"operatorAddress"`
	Incarnation     uint64           `json:"incarnation"`
	State           State            `json:"state"`
	// Leaving says that the host is stopping; it owns no pool.
	Leaving         bool   `json:"leaving,omitempty"`
	SettingsVersion uint64 `json:"settingsVersion"`
}
