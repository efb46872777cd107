// Package certifier issues and reloads the keys and certificates of the fleet.
//
// The daemons of a fleet trust one certificate authority, which signs the
// certificate of each daemon. A certificate may name a VM; its holder can then
// only speak for that VM. Names and addresses are not checked otherwise, because
// VMs are replaced all the time.
//
//	authority, err := certifier.NewAuthority("fleet", 10*365*24*time.Hour)
//	pair, err := authority.Issue(certifier.Request{VM: "vm-1", Lifetime: 90 * 24 * time.Hour})
//	err = pair.Write("keys/vm-1.crt", "keys/vm-1.key")
//
// A Reloader reads the files again while the daemon runs, to replace certificates
// without a restart. If the new files cannot be used, it reports them and the old
// credentials stay in use.
package certifier

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"time"

	"laburnumline/contractor"
)

const (
	serialBits = 120
	// clockSkew is the maximum difference between the clocks of two VMs that a
	// new certificate tolerates.
	clockSkew = 5 * time.Minute

	certificateBlock = "CERTIFICATE"
	keyBlock         = "PRIVATE KEY"

	certificateMode = 0o644
	keyMode         = 0o600

	identityScheme = "laburnumline"
	identityHost   = "vm"
)

// Authority is the certificate authority of a fleet.
type Authority struct {
	certificate *x509.Certificate
	key         ed25519.PrivateKey
}

// KeyPair is a certificate and its private key in PEM.
type KeyPair struct {
	Certificate []byte
	Key         []byte
}

// Request describes the certificate to issue.
type Request struct {
	// VM is the only VM that the holder may speak for. Empty means any.
	VM contractor.VM
	// Addresses and Names are those at which HTTP clients reach the holder.
	Addresses []netip.Addr
	Names     []string
	Lifetime  time.Duration
}

// NewAuthority returns an authority with a new key.
func NewAuthority(name string, lifetime time.Duration) (*Authority, error) {
	template, err := newTemplate(name, lifetime)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate key of authority %s: %w", name, err)
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	if err != nil {
		return nil, fmt.Errorf("sign certificate of authority %s: %w", name, err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("parse certificate of authority %s: %w", name, err)
	}
	return &Authority{certificate: certificate, key: private}, nil
}

// LoadAuthority returns the authority with the given key pair.
func LoadAuthority(p KeyPair) (*Authority, error) {
	loaded, err := tls.X509KeyPair(p.Certificate, p.Key)
	if err != nil {
		return nil, fmt.Errorf("load authority: %w", err)
	}
	key, ok := loaded.PrivateKey.(ed25519.PrivateKey)
	if !ok || !loaded.Leaf.IsCA {
		return nil, fmt.Errorf("load authority: %s is not an Ed25519 authority", loaded.Leaf.Subject)
	}
	return &Authority{certificate: loaded.Leaf, key: key}, nil
}

// KeyPair returns the authority's own certificate and key. Only the certificate
// belongs on the daemons' VMs.
func (a *Authority) KeyPair() (KeyPair, error) { return newPair(a.certificate.Raw, a.key) }

// Certificate returns the authority's certificate in PEM.
func (a *Authority) Certificate() []byte {
	return pem.EncodeToMemory(&pem.Block{Type: certificateBlock, Bytes: a.certificate.Raw})
}

// Issue generates a key and signs its certificate.
func (a *Authority) Issue(r Request) (KeyPair, error) {
	template, err := newTemplate(string(r.VM), r.Lifetime)
	if err != nil {
		return KeyPair{}, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	template.DNSNames = r.Names
	for _, address := range r.Addresses {
		template.IPAddresses = append(template.IPAddresses, net.IP(address.AsSlice()))
	}
	if r.VM != "" {
		template.URIs = []*url.URL{{Scheme: identityScheme, Host: identityHost, Path: "/" + string(r.VM)}}
	}
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return KeyPair{}, fmt.Errorf("generate key for VM %q: %w", r.VM, err)
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, public, a.key)
	if err != nil {
		return KeyPair{}, fmt.Errorf("sign certificate for VM %q: %w", r.VM, err)
	}
	return newPair(der, private)
}

// Write writes the pair to two files. Only the owner may read the key file.
func (p KeyPair) Write(certificatePath, keyPath string) error {
	if err := os.WriteFile(keyPath, p.Key, keyMode); err != nil {
		return fmt.Errorf("write key: %w", err)
	}
	if err := os.WriteFile(certificatePath, p.Certificate, certificateMode); err != nil {
		return fmt.Errorf("write certificate: %w", err)
	}
	return nil
}

// VMOf returns the VM that a certificate names.
func VMOf(certificate *x509.Certificate) (contractor.VM, bool) {
	for _, u := range certificate.URIs {
		if u.Scheme == identityScheme && u.Host == identityHost {
			return contractor.VM(strings.TrimPrefix(u.Path, "/")), true
		}
	}
	return "", false
}

func newTemplate(name string, lifetime time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fmt.Errorf("choose serial number for %q: %w", name, err)
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber:          serial,
		Subject:               pkix.Name{CommonName: name, Organization: []string{"laburnumline"}},
		NotBefore:             now.Add(-clockSkew),
		NotAfter:              now.Add(lifetime),
		BasicConstraintsValid: true,
	}, nil
}

func newPair(certificate []byte, key ed25519.PrivateKey) (KeyPair, error) {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return KeyPair{}, fmt.Errorf("encode private key: %w", err)
	}
	return KeyPair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: certificateBlock, Bytes: certificate}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: keyBlock, Bytes: der}),
	}, nil
}
