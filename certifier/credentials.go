package certifier

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
)

// Credentials are the key pair and the trusted authorities of a daemon. They are
// immutable.
type Credentials struct {
	// Certificate is the daemon's own certificate and key.
	Certificate tls.Certificate
	// Authorities are the trusted authorities. It is nil if no peer is verified.
	Authorities *x509.CertPool
}

// ErrNoCertificate means that the peer presented no certificate.
var ErrNoCertificate = errors.New("peer has no certificate")

// NewCredentials returns credentials with a key pair and the PEM certificates of
// the trusted authorities, which may be nil.
func NewCredentials(p KeyPair, authority []byte) (*Credentials, error) {
	loaded, err := tls.X509KeyPair(p.Certificate, p.Key)
	if err != nil {
		return nil, fmt.Errorf("load key pair: %w", err)
	}
	c := &Credentials{Certificate: loaded}
	if authority == nil {
		return c, nil
	}
	c.Authorities = x509.NewCertPool()
	if !c.Authorities.AppendCertsFromPEM(authority) {
		return nil, errors.New("load authorities: no certificate in PEM")
	}
	return c, nil
}

// Credentials returns c. Fixed credentials can be used like a Reloader.
func (c *Credentials) Credentials() *Credentials { return c }

// Verify checks that a trusted authority signed the peer's certificate.
func (c *Credentials) Verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return ErrNoCertificate
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         c.Authorities,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		return fmt.Errorf("verify certificate of peer: %w", err)
	}
	return nil
}

// PeerTLS returns the configuration for both ends of a connection between
// daemons. It verifies the peer's certificate chain, but not its host name.
func (c *Credentials) PeerTLS(protocol string) *tls.Config {
	return &tls.Config{
		Certificates:           []tls.Certificate{c.Certificate},
		ClientAuth:             tls.RequireAnyClientCert,
		InsecureSkipVerify:     true, // VerifyConnection checks the chain instead
		VerifyConnection:       c.Verify,
		NextProtos:             []string{protocol},
		MinVersion:             tls.VersionTLS13,
		SessionTicketsDisabled: true,
	}
}
