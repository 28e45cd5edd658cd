package config

import (
	"github.com/cornelyard/cornelyard/ident"
)

// Host is the settings file of cornelyardd. All addresses are IP:port.
type Host struct {
	// Host is this host's name, unique in the system.
	Host       ident.Host       `json:"host"`
	DataCentre ident.DataCentre `json:"dataCentre"`
	// CallerAddress, PeerAddress and OperatorAddress are listened on.
	CallerAddress   string `json:"callerAddress"`
	PeerAddress     string `json:"peerAddress"`
	OperatorAddress string `json:"operatorAddress"`
	// AdvertisedPeerAddress is what other hosts dial, if not PeerAddress.
	AdvertisedPeerAddress string `json:"advertisedPeerAddress,omitempty"`
	// Platform is the base URL of the platform's services.
	Platform string `json:"platform"`
	// Seeds are peer addresses to dial before the host list is known.
	Seeds []string `json:"seeds,omitempty"`
	// PeerKeys are 32-byte keys in hex. The first is presented to peers; all
	// are accepted, so that keys can be rotated.
	PeerKeys []string `json:"peerKeys"`
	// OperatorTokenHashes are SHA-256 hashes, in hex, of the operators' tokens.
	OperatorTokenHashes []string `json:"operatorTokenHashes"`
	Limits              Limits   `json:"limits,omitzero"`
	Timing              Timing   `json:"timing,omitzero"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"logLevel,omitempty"`
}
