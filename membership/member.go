package membership

import "github.com/cornelyard/cornelyard/ident"

// Member is a host as seen by this host.
type Member struct {
	Host            ident.Host       `json:"host"`
	DataCentre      ident.DataCentre `json:"dataCentre"`
	PeerAddress     string           `json:"peerAddress"`
	OperatorAddress string           `json:"operatorAddress"`
	Incarnation     uint64           `json:"incarnation"`
	State           State            `json:"state"`
	// Leaving means that the host is stopping. It owns no pool while another host can.
	Leaving         bool   `json:"leaving,omitempty"`
	SettingsVersion uint64 `json:"settingsVersion"`
}
