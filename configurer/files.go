package configurer

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
)

// checkFiles records a problem for each certificate or key file that is missing or
// unreadable, or does not match its counterpart.
func (f *settingsFile) checkFiles(s *Settings) {
	f.checkKeyPair("callers", s.TLS.CallersCertificate, s.TLS.CallersKey)
	f.checkKeyPair("operators", s.TLS.OperatorsCertificate, s.TLS.OperatorsKey)
	f.checkKeyPair("daemons", s.TLS.DaemonsCertificate, s.TLS.DaemonsKey)
	for _, c := range []struct{ key, path string }{
		{"daemons_ca", s.TLS.DaemonsCA},
		{"daemons_certificate", s.TLS.DaemonsCertificate},
		{"daemons_key", s.TLS.DaemonsKey},
	} {
		if c.path == "" {
			f.addProblem(settingPath{"tls", c.key}, "", "is required")
		}
	}
	f.checkAuthorities(settingPath{"tls", "daemons_ca"}, s.TLS.DaemonsCA)
	f.checkAuthorities(settingPath{"store", "ca"}, s.Store.CA)
	operators := s.Listen.Operators
	if s.TLS.OperatorsCertificate == "" && operators.IsValid() && !operators.Addr().IsLoopback() {
		f.addProblem(settingPath{"tls", "operators_certificate"}, "", fmt.Sprintf("is required, as listen.operators (%s) is not a loopback address", operators))
	}
}

func (f *settingsFile) checkKeyPair(prefix, certificate, key string) {
	certificateSetting := settingPath{"tls", prefix + "_certificate"}
	keySetting := settingPath{"tls", prefix + "_key"}
	if certificate == "" && key == "" {
		return
	}
	if certificate == "" {
		f.addProblem(certificateSetting, "", "is required together with "+keySetting.key)
		return
	}
	if key == "" {
		f.addProblem(keySetting, "", "is required together with "+certificateSetting.key)
		return
	}
	certificateOK := f.checkReadable(certificateSetting, certificate)
	keyOK := f.checkReadable(keySetting, key)
	if !certificateOK || !keyOK {
		return
	}
	if _, err := tls.LoadX509KeyPair(certificate, key); err != nil {
		f.addProblem(keySetting, key, fmt.Sprintf("does not fit %s: %v", certificate, err))
	}
}

func (f *settingsFile) checkAuthorities(p settingPath, path string) {
	if path == "" || !f.checkReadable(p, path) {
		return
	}
	text, err := os.ReadFile(path)
	if err != nil || !x509.NewCertPool().AppendCertsFromPEM(text) {
		f.addProblem(p, path, "has no certificate in PEM")
	}
}

func (f *settingsFile) checkReadable(p settingPath, path string) bool {
	if _, err := os.ReadFile(path); err != nil {
		f.addProblem(p, path, err.Error())
		return false
	}
	return true
}
