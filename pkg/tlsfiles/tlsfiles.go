// Package tlsfiles builds TLS configurations from certificate files and reads
// the files again when they change, so that certificates are replaced without a
// restart.
package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"
	"k8s.io/utils/clock"
)

// reloadInterval bounds how long a replaced certificate stays unused.
const reloadInterval = 10 * time.Second

// Files name a certificate, its key, and the CA that signs the other side's
// certificates.
type Files struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	// ClientCA makes the other side's certificate mandatory, if set.
	ClientCA string `json:"client_ca,omitempty"`
}

// NoCertificateError reports a CA file without a certificate.
type NoCertificateError struct{ File string }

func (e *NoCertificateError) Error() string { return "no certificate in " + e.File }

// Source holds the newest readable state of the files.
type Source struct {
	files Files
	clock clock.PassiveClock

	mu          sync.Mutex
	checked     time.Time
	modified    [3]time.Time
	certificate *tls.Certificate
	authorities *x509.CertPool
}

// NewSource reads the files.
func NewSource(files Files, clock clock.PassiveClock) (*Source, error) {
	s := &Source{files: files, clock: clock, checked: clock.Now()}
	modified, err := s.modificationTimes()
	if err != nil {
		return nil, errors.Trace(err)
	}
	s.modified = modified
	return s, errors.Trace(s.load())
}

// Server returns a configuration for a listener. With a ClientCA the client's
// certificate is required and verified.
func (s *Source) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			certificate, authorities := s.current()
			config := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*certificate}}
			if authorities != nil {
				config.ClientCAs = authorities
				config.ClientAuth = tls.RequireAndVerifyClientCert
			}
			return config, nil
		},
	}
}

// NewListener returns a listener that serves TLS on the connections of inner.
func (s *Source) NewListener(inner net.Listener) net.Listener {
	return tls.NewListener(inner, s.Server())
}

// Client returns a configuration for connections to other daemons: it presents
// the certificate, and verifies the other side's by the ClientCA. Both are the
// newest at each handshake. Daemons are addressed by IP numbers that change with
// every Host, so the certificate's names are not compared with the address: a
// certificate of the CA is the proof of being a daemon.
func (s *Source) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			certificate, _ := s.current()
			return certificate, nil
		},
		InsecureSkipVerify: true, // VerifyConnection verifies the chain.
		VerifyConnection:   s.verify,
	}
}

// verify checks that the other side's certificate was signed by the CA.
func (s *Source) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return &NoPeerCertificateError{}
	}
	_, authorities := s.current()
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         authorities,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return errors.Trace(err)
}

// NoPeerCertificateError reports a peer that presented no certificate.
type NoPeerCertificateError struct{}

func (e *NoPeerCertificateError) Error() string { return "the peer presented no certificate" }

// current reads the files again if they have changed. Files that can't be read
// leave the state as it is, since a replacement may be half written.
func (s *Source) current() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if now.Sub(s.checked) < reloadInterval {
		return s.certificate, s.authorities
	}
	s.checked = now
	modified, err := s.modificationTimes()
	if err == nil && modified == s.modified {
		return s.certificate, s.authorities
	}
	if err == nil {
		err = s.load()
	}
	if err != nil {
		klog.ErrorS(err, "certificate files not reloaded", "certificate", s.files.Certificate)
		return s.certificate, s.authorities
	}
	s.modified = modified
	klog.InfoS("certificate files reloaded", "certificate", s.files.Certificate)
	return s.certificate, s.authorities
}

func (s *Source) modificationTimes() ([3]time.Time, error) {
	var times [3]time.Time
	for i, name := range []string{s.files.Certificate, s.files.Key, s.files.ClientCA} {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			return times, errors.Trace(err)
		}
		times[i] = info.ModTime()
	}
	return times, nil
}

func (s *Source) load() error {
	certificate, err := tls.LoadX509KeyPair(s.files.Certificate, s.files.Key)
	if err != nil {
		return errors.Annotatef(err, "load %s", s.files.Certificate)
	}
	var authorities *x509.CertPool
	if s.files.ClientCA != "" {
		pem, err := os.ReadFile(s.files.ClientCA)
		if err != nil {
			return errors.Trace(err)
		}
		authorities = x509.NewCertPool()
		if !authorities.AppendCertsFromPEM(pem) {
			return &NoCertificateError{File: s.files.ClientCA}
		}
	}
	s.certificate, s.authorities = &certificate, authorities
	return nil
}
