package api

import (
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/membership"
	"github.com/cornelyard/cornelyard/pool"
)

// HostStatus is how one host sees itself and the others.
type HostStatus struct {
	Host        ident.Host       `json:"host"`
	DataCentre  ident.DataCentre `json:"dataCentre"`
	Incarnation uint64           `json:"incarnation"`
	// SettingsVersion is the version in force there; zero means none.
	SettingsVersion uint64 `json:"settingsVersion"`
	// NotReady says what is missing; it is empty if the host is ready.
	NotReady string `json:"notReady,omitempty"`
	Leaving  bool   `json:"leaving,omitempty"`
	// Alive counts the members that the host sees alive, itself included.
	Alive int `json:"alive"`
	// NotAlive are the members that it sees otherwise.
	NotAlive []membership.Member `json:"missing,omitempty"`
	// Pools are the pools that it owns, sorted by name.
	Pools []pool.Status `json:"pools,omitempty"`
}
