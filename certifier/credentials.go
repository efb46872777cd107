package certifier

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
)

// Credentials are the keys of one daemon at one time. They do not change.
type Credentials struct {
	// Certificate is the daemon's own certificate and key.
	Certificate tls.Certificate
	// Authorities are the trusted authorities. Nil where no peer is checked.
	Authorities *x509.CertPool
}

// ErrNoCertificate means that the peer showed no certificate.
var ErrNoCertificate = errors.New("peer has no certificate")

// NewCredentials returns the credentials of a pair that authority signed.
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

// Credentials returns c, so that fixed credentials serve where reloaded ones do.
func (c *Credentials) Credentials() *Credentials { return c }

// Verify checks that the peer's certificate was signed by a trusted authority.
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
// daemons. The host name is not checked, the signature of the authority is.
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
