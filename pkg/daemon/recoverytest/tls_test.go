package recoverytest

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
	"net/http"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"k8s.io/utils/clock"

	"github.com/monsooncrank/monsooncrank/pkg/daemon"
	"github.com/monsooncrank/monsooncrank/pkg/tlsfiles"
)

// authority is a certificate authority that issues certificates for daemons.
type authority struct {
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
	dir         string
}

func newAuthority() *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	Expect(err).NotTo(HaveOccurred())
	certificate, err := x509.ParseCertificate(der)
	Expect(err).NotTo(HaveOccurred())
	a := &authority{key: key, certificate: certificate, dir: GinkgoT().TempDir()}
	a.write("ca.pem", "CERTIFICATE", der)
	return a
}

func (a *authority) write(name, kind string, der []byte) string {
	file := filepath.Join(a.dir, name)
	Expect(os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)).To(Succeed())
	return file
}

// files issues a certificate for a daemon on a loopback address.
func (a *authority) files() tlsfiles.Files {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "daemon"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	Expect(err).NotTo(HaveOccurred())
	keyDER, err := x509.MarshalECPrivateKey(key)
	Expect(err).NotTo(HaveOccurred())
	return tlsfiles.Files{
		Certificate: a.write("cert.pem", "CERTIFICATE", der),
		Key:         a.write("key.pem", "EC PRIVATE KEY", keyDER),
		ClientCA:    filepath.Join(a.dir, "ca.pem"),
	}
}

func (a *authority) roots() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(a.certificate)
	return pool
}

// withTLS returns a function that enables TLS on all listeners: mutual TLS between
// peers, and server authentication only for callers and operators.
func withTLS(public, peers tlsfiles.Files) func(*daemon.Settings) {
	public.ClientCA = ""
	return func(s *daemon.Settings) {
		s.Callers.TLS, s.Operators.TLS, s.Peers.TLS = &public, &public, &peers
	}
}

// peerRefusal connects to the listener for peers. It returns the error with which
// the connection was refused, or nil if the connection stays open.
func peerRefusal(address string, config *tls.Config) error {
	conn, err := tls.Dial("tcp", address, config)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	Expect(conn.SetReadDeadline(time.Now().Add(time.Second))).To(Succeed())
	_, err = conn.Read(make([]byte, 1))
	if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
		return nil
	}
	return err
}

func clientTLSConfig(files tlsfiles.Files) *tls.Config {
	source, err := tlsfiles.NewSource(files, clock.RealClock{})
	Expect(err).NotTo(HaveOccurred())
	return source.Client()
}

var _ = Describe("Daemons with TLS", Ordered, func() {
	var (
		f                   *fleet
		own, foreign        *authority
		files, foreignFiles tlsfiles.Files
	)

	BeforeAll(func() {
		own, foreign = newAuthority(), newAuthority()
		files, foreignFiles = own.files(), foreign.files()
		f = newFleet(fleetOptions{
			daemons: 3, onDemand: 1, settings: withTLS(files, files), tlsConfig: &tls.Config{RootCAs: own.roots()},
		})
		DeferCleanup(f.close)
	})

	It("serve callers, operators and one another", func() {
		// Guards against a listener that ignores its TLS settings. The fleet has
		// become ready over TLS; plain HTTP and other CAs must not work.
		f.expectServes(f.members[2], 1)
		for _, address := range []string{f.members[0].CallersAddress(), f.members[0].OperatorsAddress()} {
			response, err := newClient(nil).Get("http://" + address + "/readyz")
			if err == nil {
				Expect(response.StatusCode).NotTo(Equal(http.StatusOK))
				Expect(response.Body.Close()).To(Succeed())
			}
			_, err = newClient(&tls.Config{RootCAs: foreign.roots()}).Get("https://" + address + "/readyz")
			Expect(err).To(HaveOccurred())
		}
	})

	It("refuse a peer whose certificate was signed by another CA", func() {
		// Guards against a foreign process that joins the membership or receives
		// streams in a handover.
		address := f.members[0].PeersAddress()
		Expect(peerRefusal(address, clientTLSConfig(files))).To(Succeed())
		mixed := foreignFiles
		mixed.ClientCA = files.ClientCA
		Expect(peerRefusal(address, clientTLSConfig(mixed))).To(MatchError(ContainSubstring("tls")))
		Expect(peerRefusal(address, &tls.Config{InsecureSkipVerify: true})).To(MatchError(ContainSubstring("tls")))

		// During a table outage only peers can confirm a configuration, and no
		// peer accepts connections from the foreign daemon.
		f.setTableDown(true)
		foreignDaemon := f.start(withTLS(files, foreignFiles))
		f.expectRefused(foreignDaemon)
		Expect(foreignDaemon.componentDetail("membership")).To(Equal("0 other daemons alive"))
		for _, m := range f.members[:3] {
			Expect(m.componentDetail("membership")).To(Equal("2 other daemons alive"))
		}
		f.setTableDown(false)
	})
})
