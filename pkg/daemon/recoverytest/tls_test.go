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

// authority signs certificates.
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

// files issues a certificate for a daemon on loopback.
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

// secured gives the listeners TLS: mutual between peers, of the server alone
// towards callers and operators.
func secured(public, peers tlsfiles.Files) func(*daemon.Settings) {
	public.ClientCA = ""
	return func(s *daemon.Settings) {
		s.Callers.TLS, s.Operators.TLS, s.Peers.TLS = &public, &public, &peers
	}
}

// peerRefusal connects to a peers' listener and returns why it was refused, nil
// when it keeps the connection open.
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

func clientOf(files tlsfiles.Files) *tls.Config {
	source, err := tlsfiles.NewSource(files, clock.RealClock{})
	Expect(err).NotTo(HaveOccurred())
	return source.Client()
}

var _ = Describe("Daemons with TLS", Ordered, func() {
	var (
		f              *fleet
		own, foreign   *authority
		files, strange tlsfiles.Files
	)

	BeforeAll(func() {
		own, foreign = newAuthority(), newAuthority()
		files, strange = own.files(), foreign.files()
		f = newFleet(fleetOptions{
			daemons: 3, onDemand: 1, settings: secured(files, files), secure: &tls.Config{RootCAs: own.roots()},
		})
		DeferCleanup(f.close)
	})

	It("serve callers, operators and one another", func() {
		// Guards against a listener that ignores its certificates: the fleet
		// becomes ready only over TLS.
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

	It("refuse a peer whose certificate another CA has signed", func() {
		// Guards against a foreign process that takes part in membership, or
		// that is handed streams.
		address := f.members[0].PeersAddress()
		Expect(peerRefusal(address, clientOf(files))).To(Succeed())
		mixed := strange
		mixed.ClientCA = files.ClientCA
		Expect(peerRefusal(address, clientOf(mixed))).To(MatchError(ContainSubstring("tls")))
		Expect(peerRefusal(address, &tls.Config{InsecureSkipVerify: true})).To(MatchError(ContainSubstring("tls")))

		// During an outage only peers can confirm a configuration, and none of
		// them talks to the foreign daemon.
		f.tableDown(true)
		intruder := f.start(secured(files, strange))
		f.expectRefused(intruder)
		Expect(intruder.duty("membership")).To(Equal("0 other daemons alive"))
		for _, m := range f.members[:3] {
			Expect(m.duty("membership")).To(Equal("2 other daemons alive"))
		}
		f.tableDown(false)
	})
})
