package tlsfiles_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	clocktesting "k8s.io/utils/clock/testing"

	"github.com/monsooncrank/monsooncrank/pkg/tlsfiles"
)

// testCA is a certificate authority that signs the certificates of a test.
type testCA struct {
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
	der         []byte
}

func newTestCA(g *WithT) *testCA {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	g.Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	g.Expect(err).NotTo(HaveOccurred())
	certificate, err := x509.ParseCertificate(der)
	g.Expect(err).NotTo(HaveOccurred())
	return &testCA{key: key, certificate: certificate, der: der}
}

// issue issues a certificate for name and writes it, its key and the CA
// certificate to dir.
func (a *testCA) issue(g *WithT, dir, name string) tlsfiles.Files {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	g.Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	g.Expect(err).NotTo(HaveOccurred())
	keyDER, err := x509.MarshalECPrivateKey(key)
	g.Expect(err).NotTo(HaveOccurred())
	files := tlsfiles.Files{
		Certificate: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), ClientCA: filepath.Join(dir, "ca.pem"),
	}
	for file, block := range map[string]*pem.Block{
		files.Certificate: {Type: "CERTIFICATE", Bytes: der},
		files.Key:         {Type: "EC PRIVATE KEY", Bytes: keyDER},
		files.ClientCA:    {Type: "CERTIFICATE", Bytes: a.der},
	} {
		g.Expect(os.WriteFile(file, pem.EncodeToMemory(block), 0o600)).To(Succeed())
	}
	return files
}

// handshake connects a client to a server. It returns the common name of the
// server's certificate and the handshake errors of both sides.
func handshake(g *WithT, server, client *tls.Config) (name string, clientErr, serverErr error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	serverDone := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			serverDone <- err
			return
		}
		defer func() { _ = conn.Close() }()
		serverDone <- tls.Server(conn, server).Handshake()
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	tlsConn := tls.Client(conn, client)
	clientErr = tlsConn.Handshake()
	serverErr = <-serverDone
	if clientErr == nil {
		name = tlsConn.ConnectionState().PeerCertificates[0].Subject.CommonName
	}
	return name, clientErr, serverErr
}

// Guards against a daemon that accepts a peer without a certificate signed by
// the operator's CA, as server or as client.
func TestPeerCertificatesAreVerified(t *testing.T) {
	g := NewWithT(t)
	clock := clocktesting.NewFakePassiveClock(time.Now())
	trustedCA, otherCA := newTestCA(g), newTestCA(g)
	one, err := tlsfiles.NewSource(trustedCA.issue(g, t.TempDir(), "one"), clock)
	g.Expect(err).NotTo(HaveOccurred())
	two, err := tlsfiles.NewSource(trustedCA.issue(g, t.TempDir(), "two"), clock)
	g.Expect(err).NotTo(HaveOccurred())
	untrusted, err := tlsfiles.NewSource(otherCA.issue(g, t.TempDir(), "stranger"), clock)
	g.Expect(err).NotTo(HaveOccurred())

	name, clientErr, serverErr := handshake(g, one.Server(), two.Client())
	g.Expect(clientErr).NotTo(HaveOccurred())
	g.Expect(serverErr).NotTo(HaveOccurred())
	g.Expect(name).To(Equal("one"))
	_, clientErr, _ = handshake(g, untrusted.Server(), one.Client())
	g.Expect(clientErr).To(HaveOccurred())
	_, _, serverErr = handshake(g, one.Server(), untrusted.Client())
	g.Expect(serverErr).To(HaveOccurred())
	_, _, serverErr = handshake(g, one.Server(), &tls.Config{InsecureSkipVerify: true})
	g.Expect(serverErr).To(HaveOccurred(), "a client without a certificate")
}

// Guards against a new certificate that takes effect only after a restart, and
// against a partly written file that replaces the certificate in use.
func TestReloadsChangedFiles(t *testing.T) {
	g := NewWithT(t)
	clock := clocktesting.NewFakePassiveClock(time.Now())
	ca := newTestCA(g)
	dir := t.TempDir()
	files := ca.issue(g, dir, "old")
	server, err := tlsfiles.NewSource(files, clock)
	g.Expect(err).NotTo(HaveOccurred())
	client, err := tlsfiles.NewSource(ca.issue(g, t.TempDir(), "client"), clock)
	g.Expect(err).NotTo(HaveOccurred())
	serverName := func() string {
		name, clientErr, _ := handshake(g, server.Server(), client.Client())
		g.Expect(clientErr).NotTo(HaveOccurred())
		return name
	}

	later := time.Now().Add(time.Minute)
	g.Expect(os.WriteFile(files.Certificate, []byte("half"), 0o600)).To(Succeed())
	g.Expect(os.Chtimes(files.Certificate, later, later)).To(Succeed())
	clock.SetTime(clock.Now().Add(time.Minute))
	g.Expect(serverName()).To(Equal("old"))

	ca.issue(g, dir, "new")
	later = later.Add(time.Minute)
	g.Expect(os.Chtimes(files.Certificate, later, later)).To(Succeed())
	clock.SetTime(clock.Now().Add(time.Minute))
	g.Expect(serverName()).To(Equal("new"))
}

func TestRejectsCAFileWithoutCertificate(t *testing.T) {
	g := NewWithT(t)
	files := newTestCA(g).issue(g, t.TempDir(), "one")
	g.Expect(os.WriteFile(files.ClientCA, nil, 0o600)).To(Succeed())
	_, err := tlsfiles.NewSource(files, clocktesting.NewFakePassiveClock(time.Now()))
	g.Expect(err).To(MatchError(ContainSubstring("no certificate in")))
}
