package peer

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"time"
)

// certificateCommonName is the common name of every certificate. It is not checked:
// peers are authenticated by their public keys only.
const certificateCommonName = "cornelyard"

// credentials holds this host's certificate and the public keys that peers may
// present.
type credentials struct {
	certificate  tls.Certificate
	acceptedKeys []ed25519.PublicKey
}

// newCredentials derives the certificate from the first key and accepts the public
// keys of all.
func newCredentials(keys []Key) (*credentials, error) {
	if len(keys) == 0 {
		return nil, Error.New("at least one peer key is required")
	}
	c := &credentials{}
	for i, k := range keys {
		privateKey, err := k.certificateKey()
		if err != nil {
			return nil, err
		}
		c.acceptedKeys = append(c.acceptedKeys, privateKey.Public().(ed25519.PublicKey))
		if i > 0 {
			continue
		}
		if c.certificate, err = selfSignedCertificate(privateKey); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// selfSignedCertificate returns a certificate that never expires, because the clocks
// of hosts may differ and keys are rotated through the settings.
func selfSignedCertificate(privateKey ed25519.PrivateKey) (tls.Certificate, error) {
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: certificateCommonName},
		NotBefore:    time.Unix(0, 0),
		NotAfter:     time.Date(9999, time.December, 31, 0, 0, 0, 0, time.UTC),
		KeyUsage:     x509.KeyUsageDigitalSignature,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, privateKey.Public(), privateKey)
	if err != nil {
		return tls.Certificate{}, Error.Wrap(err)
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: privateKey}, nil
}

// tlsConfig returns the TLS configuration for both dialled and accepted connections.
// Verification of the certificate chain is disabled because verifyPeerKey checks the
// peer's key.
func (c *credentials) tlsConfig() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{c.certificate},
		ClientAuth:             tls.RequireAnyClientCert,
		InsecureSkipVerify:     true,
		VerifyConnection:       c.verifyPeerKey,
		SessionTicketsDisabled: true,
	}
}

// verifyPeerKey accepts a peer only if its single certificate holds one of the
// accepted keys.
func (c *credentials) verifyPeerKey(state tls.ConnectionState) error {
	if len(state.PeerCertificates) != 1 {
		return Error.New("peer must present exactly one certificate")
	}
	presented, ok := state.PeerCertificates[0].PublicKey.(ed25519.PublicKey)
	if !ok {
		return Error.New("peer certificate has no ed25519 key")
	}
	for _, key := range c.acceptedKeys {
		if key.Equal(presented) {
			return nil
		}
	}
	return Error.New("peer certificate's key is not among the accepted keys")
}
