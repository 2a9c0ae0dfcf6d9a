// Package tlsfiles builds TLS configurations from certificate files and reloads
// the files when they change, so that certificates can be replaced without a
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

// reloadInterval is the minimum time between checks for changed files, and so
// bounds how long a new certificate remains unused.
const reloadInterval = 10 * time.Second

// Files are the paths of a certificate, its private key, and the CA
// certificates that verify the peer.
type Files struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	// ClientCA is optional. If it is set, a server requires a certificate from
	// clients.
	ClientCA string `json:"client_ca,omitempty"`
}

// NoCertificateError reports a CA file that contains no certificate.
type NoCertificateError struct{ File string }

func (e *NoCertificateError) Error() string { return "no certificate in " + e.File }

// Source holds the certificates that were last loaded from the files. It is
// safe for concurrent use.
type Source struct {
	files Files
	clock clock.PassiveClock

	mu          sync.Mutex
	checkedAt   time.Time
	modTimes    [3]time.Time
	certificate *tls.Certificate
	caPool      *x509.CertPool
}

// NewSource loads the files and returns a Source.
func NewSource(files Files, clock clock.PassiveClock) (*Source, error) {
	s := &Source{files: files, clock: clock, checkedAt: clock.Now()}
	modTimes, err := s.readModTimes()
	if err != nil {
		return nil, errors.Trace(err)
	}
	s.modTimes = modTimes
	return s, errors.Trace(s.load())
}

// Server returns a configuration for a listener. If ClientCA is set, a client
// certificate is required and verified. Each handshake uses the certificates
// that were last loaded.
func (s *Source) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			certificate, caPool := s.current()
			config := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*certificate}}
			if caPool != nil {
				config.ClientCAs = caPool
				config.ClientAuth = tls.RequireAndVerifyClientCert
			}
			return config, nil
		},
	}
}

// NewListener returns a listener that accepts TLS connections on inner.
func (s *Source) NewListener(inner net.Listener) net.Listener {
	return tls.NewListener(inner, s.Server())
}

// Client returns a configuration for connections to other daemons. It presents
// the certificate and verifies the peer's certificate against ClientCA, both as
// last loaded at the time of the handshake. The names in the peer's certificate
// are not compared with its address, because daemons are addressed by IP
// addresses that change with every Host: any certificate signed by the CA
// identifies a daemon.
func (s *Source) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			certificate, _ := s.current()
			return certificate, nil
		},
		InsecureSkipVerify: true, // VerifyConnection verifies the certificate chain.
		VerifyConnection:   s.verify,
	}
}

// verify checks that the peer's certificate was signed by the CA.
func (s *Source) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return &NoPeerCertificateError{}
	}
	_, caPool := s.current()
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         caPool,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return errors.Trace(err)
}

// NoPeerCertificateError reports a peer that presented no certificate.
type NoPeerCertificateError struct{}

func (e *NoPeerCertificateError) Error() string { return "the peer presented no certificate" }

// current returns the certificate and the CA pool, and first reloads the files
// if they have changed. If loading fails, the previous certificates remain in
// use, since a file may be only partly written.
func (s *Source) current() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if now.Sub(s.checkedAt) < reloadInterval {
		return s.certificate, s.caPool
	}
	s.checkedAt = now
	modTimes, err := s.readModTimes()
	if err == nil && modTimes == s.modTimes {
		return s.certificate, s.caPool
	}
	if err == nil {
		err = s.load()
	}
	if err != nil {
		klog.ErrorS(err, "failed to reload certificate files", "certificate", s.files.Certificate)
		return s.certificate, s.caPool
	}
	s.modTimes = modTimes
	klog.InfoS("certificate files reloaded", "certificate", s.files.Certificate)
	return s.certificate, s.caPool
}

// readModTimes returns the modification times of the files.
func (s *Source) readModTimes() ([3]time.Time, error) {
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

// load loads the files. On an error the Source is unchanged.
func (s *Source) load() error {
	certificate, err := tls.LoadX509KeyPair(s.files.Certificate, s.files.Key)
	if err != nil {
		return errors.Annotatef(err, "load %s", s.files.Certificate)
	}
	var caPool *x509.CertPool
	if s.files.ClientCA != "" {
		pem, err := os.ReadFile(s.files.ClientCA)
		if err != nil {
			return errors.Trace(err)
		}
		caPool = x509.NewCertPool()
		if !caPool.AppendCertsFromPEM(pem) {
			return &NoCertificateError{File: s.files.ClientCA}
		}
	}
	s.certificate, s.caPool = &certificate, caPool
	return nil
}
