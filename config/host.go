package config

import (
	"github.com/cornelyard/cornelyard/ident"
)

// Host is the settings file of cornelyardd. All addresses have the form IP:port.
type Host struct {
	// Host is this host's name, unique in the system.
	Host       ident.Host       `json:"host"`
	DataCentre ident.DataCentre `json:"dataCentre"`
	// CallerAddress, PeerAddress and OperatorAddress are the listen addresses.
	CallerAddress   string `json:"callerAddress"`
	PeerAddress     string `json:"peerAddress"`
	OperatorAddress string `json:"operatorAddress"`
	// AdvertisedPeerAddress is the address that other hosts dial. It defaults to
	// PeerAddress.
	AdvertisedPeerAddress string `json:"advertisedPeerAddress,omitempty"`
	// Platform is the base URL of the platform's services.
	Platform string `json:"platform"`
	// Seeds are peer addresses to dial while the list of hosts is not known yet.
	Seeds []string `json:"seeds,omitempty"`
	// PeerKeys are 32-byte keys in hex. The first one is presented to peers and all
	// are accepted, which allows key rotation.
	PeerKeys []string `json:"peerKeys"`
	// OperatorTokenHashes are the hex-encoded SHA-256 hashes of the operators' tokens.
	OperatorTokenHashes []string `json:"operatorTokenHashes"`
	Limits              Limits   `json:"limits,omitzero"`
	Timing              Timing   `json:"timing,omitzero"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"logLevel,omitempty"`
}
