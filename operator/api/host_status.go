package api

import (
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/membership"
	"github.com/cornelyard/cornelyard/pool"
)

// HostStatus is the state of one host and its view of the other members.
type HostStatus struct {
	Host        ident.Host       `json:"host"`
	DataCentre  ident.DataCentre `json:"dataCentre"`
	Incarnation uint64           `json:"incarnation"`
	// SettingsVersion is the version in force on the host; zero means none.
	SettingsVersion uint64 `json:"settingsVersion"`
	// NotReady is the reason why the host is not ready; empty means ready.
	NotReady string `json:"notReady,omitempty"`
	Leaving  bool   `json:"leaving,omitempty"`
	// Alive is the number of members in state alive, including the host itself.
	Alive int `json:"alive"`
	// NotAlive are the members in any other state.
	NotAlive []membership.Member `json:"missing,omitempty"`
	// Pools are the pools that the host owns, sorted by name.
	Pools []pool.Status `json:"pools,omitempty"`
}
