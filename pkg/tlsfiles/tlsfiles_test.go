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

// authority signs the certificates of a test.
type authority struct {
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
	der         []byte
}

func newAuthority(g *WithT) *authority {
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
	return &authority{key: key, certificate: certificate, der: der}
}

// write issues a certificate and writes it with its key and the CA.
func (a *authority) write(g *WithT, dir, name string) tlsfiles.Files {
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

// handshake connects a client to a server and returns the name of the server's
// certificate, and what either side failed with.
func handshake(g *WithT, server, client *tls.Config) (name string, clientErr, serverErr error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	failed := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			failed <- err
			return
		}
		defer func() { _ = conn.Close() }()
		failed <- tls.Server(conn, server).Handshake()
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	secured := tls.Client(conn, client)
	clientErr = secured.Handshake()
	serverErr = <-failed
	if clientErr == nil {
		name = secured.ConnectionState().PeerCertificates[0].Subject.CommonName
	}
	return name, clientErr, serverErr
}

// Guards against a daemon that talks to a process without a certificate of the
// operator's CA, in either direction.
func TestPeerCertificatesAreVerified(t *testing.T) {
	g := NewWithT(t)
	clock := clocktesting.NewFakePassiveClock(time.Now())
	own, foreign := newAuthority(g), newAuthority(g)
	one, err := tlsfiles.NewSource(own.write(g, t.TempDir(), "one"), clock)
	g.Expect(err).NotTo(HaveOccurred())
	two, err := tlsfiles.NewSource(own.write(g, t.TempDir(), "two"), clock)
	g.Expect(err).NotTo(HaveOccurred())
	stranger, err := tlsfiles.NewSource(foreign.write(g, t.TempDir(), "stranger"), clock)
	g.Expect(err).NotTo(HaveOccurred())

	name, clientErr, serverErr := handshake(g, one.Server(), two.Client())
	g.Expect(clientErr).NotTo(HaveOccurred())
	g.Expect(serverErr).NotTo(HaveOccurred())
	g.Expect(name).To(Equal("one"))
	_, clientErr, _ = handshake(g, stranger.Server(), one.Client())
	g.Expect(clientErr).To(HaveOccurred())
	_, _, serverErr = handshake(g, one.Server(), stranger.Client())
	g.Expect(serverErr).To(HaveOccurred())
	_, _, serverErr = handshake(g, one.Server(), &tls.Config{InsecureSkipVerify: true})
	g.Expect(serverErr).To(HaveOccurred(), "a client without a certificate")
}

// Guards against a restart being needed for a new certificate, and against a
// half-written file taking the old one away.
func TestReloadsChangedFiles(t *testing.T) {
	g := NewWithT(t)
	clock := clocktesting.NewFakePassiveClock(time.Now())
	own := newAuthority(g)
	dir := t.TempDir()
	files := own.write(g, dir, "old")
	server, err := tlsfiles.NewSource(files, clock)
	g.Expect(err).NotTo(HaveOccurred())
	client, err := tlsfiles.NewSource(own.write(g, t.TempDir(), "client"), clock)
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

	own.write(g, dir, "new")
	later = later.Add(time.Minute)
	g.Expect(os.Chtimes(files.Certificate, later, later)).To(Succeed())
	clock.SetTime(clock.Now().Add(time.Minute))
	g.Expect(serverName()).To(Equal("new"))
}

func TestRejectsCAFileWithoutCertificate(t *testing.T) {
	g := NewWithT(t)
	files := newAuthority(g).write(g, t.TempDir(), "one")
	g.Expect(os.WriteFile(files.ClientCA, nil, 0o600)).To(Succeed())
	_, err := tlsfiles.NewSource(files, clocktesting.NewFakePassiveClock(time.Now()))
	g.Expect(err).To(MatchError(ContainSubstring("no certificate in")))
}
