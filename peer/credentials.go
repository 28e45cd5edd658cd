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

// certificateName is the common name of every certificate; only the public key
// counts.
const certificateCommonName = "cornelyard"

// credentials is the own certificate and the public keys that are accepted.
type credentials struct {
	certificate  tls.Certificate
	acceptedKeys []ed25519.PublicKey
}

// newCredentials derives credentials from the keys. The first key is presented;
// all are accepted.
func newCredentials(keys []Key) (*credentials, error) {
	if len(keys) == 0 {
		return nil, Error.New("no peer key")
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

// selfSigned returns a certificate that never expires: hosts' clocks differ,
// and keys are rotated by the settings.
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

// config returns the TLS settings of both sides. The chain isn't verified,
// because verify checks the key itself.
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

// verify accepts a peer only if its certificate has one of the accepted keys.
func (c *credentials) verifyPeerKey(state tls.ConnectionState) error {
	if len(state.PeerCertificates) != 1 {
		return Error.New("a peer presents exactly one certificate")
	}
	presented, ok := state.PeerCertificates[0].PublicKey.(ed25519.PublicKey)
	if !ok {
		return Error.New("a peer's key is an ed25519 key")
	}
	for _, key := range c.acceptedKeys {
		if key.Equal(presented) {
			return nil
		}
	}
	return Error.New("unknown peer key")
}
