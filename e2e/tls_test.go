package e2e

import (
	"bytes"
	"context"
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
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/internal/standin"
	"github.com/hickoryridge/hickoryridge/settings"
)

// authority is a certificate authority of a test.
type authority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	file string
}

// newAuthority creates an authority and writes its certificate to a file in folder.
func newAuthority(t *testing.T, folder, name string) *authority {
	a := &authority{t: t, file: filepath.Join(folder, name+".pem")}
	a.cert, a.key = a.sign(name, nil)
	writePEM(t, a.file, "CERTIFICATE", a.cert.Raw)
	return a
}

// sign returns a new certificate and its key. With a nil issuer the certificate is self-signed and
// a certificate authority.
func (a *authority) sign(name string, issuer *authority) (*x509.Certificate, *ecdsa.PrivateKey) {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: issuer == nil, BasicConstraintsValid: true, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
	}
	parent, signer := template, key
	if issuer != nil {
		parent, signer = issuer.cert, issuer.key
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		a.t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(raw)
	if err != nil {
		a.t.Fatal(err)
	}
	return cert, key
}

// issueKeyPair writes a certificate that a signs, and its key, to files in folder and returns their
// paths.
func (a *authority) issueKeyPair(folder, name string) settings.KeyPair {
	a.t.Helper()
	cert, key := a.sign(name, a)
	p := settings.KeyPair{Cert: filepath.Join(folder, name+".crt"), Key: filepath.Join(folder, name+".key"), CA: a.file}
	writePEM(a.t, p.Cert, "CERTIFICATE", cert.Raw)
	raw, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	writePEM(a.t, p.Key, "EC PRIVATE KEY", raw)
	return p
}

// writePEM writes one PEM block to a file.
func writePEM(t *testing.T, path, kind string, raw []byte) {
	t.Helper()
	writeFile(t, path, string(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw})))
}

// TestTLS serves requests over TLS with three instances that authenticate each other by
// certificates. A certificate of another authority must be rejected on the peer port.
func TestTLS(t *testing.T) {
	folder := t.TempDir()
	trusted, untrusted := newAuthority(t, folder, "ours"), newAuthority(t, folder, "stranger")
	c := newClusterWith(t, 3, 3, false, func(s *settings.Settings) {
		s.TLS.Peers = trusted.issueKeyPair(folder, string(s.Instance)+"-peer")
		s.TLS.Callers = trusted.issueKeyPair(folder, string(s.Instance)+"-callers")
		s.TLS.Callers.CA = ""
	})
	pool := x509.NewCertPool()
	pool.AddCert(trusted.cert)
	old := httpClient
	t.Cleanup(func() { httpClient = old })
	httpClient = &http.Client{Timeout: awaitTimeout, Transport: &http.Transport{
		DisableKeepAlives: true, TLSClientConfig: &tls.Config{RootCAs: pool},
	}}
	c.scheme = "https://"
	c.addTargets(1, 1, standin.EngineConfig{Speed: 20})
	c.bootstrap()
	for i := range c.nodes {
		if err := c.chat(i, "Over TLS?", 4); err != nil {
			t.Error(err)
		}
	}
	cert, err := tls.LoadX509KeyPair(untrusted.issueKeyPair(folder, "s").Cert, filepath.Join(folder, "s.key"))
	if err != nil {
		t.Fatal(err)
	}
	conn, err := tls.Dial("tcp", c.nodes[0].settings.Peer, &tls.Config{Certificates: []tls.Certificate{cert}, InsecureSkipVerify: true})
	if err == nil {
		_ = conn.SetReadDeadline(time.Now().Add(awaitTimeout))
		if _, err = conn.Read(make([]byte, 1)); err == nil {
			t.Error("a certificate of an untrusted authority was accepted")
		}
		_ = conn.Close()
	}
}

// certificateSerial returns the serial number of the certificate that an instance presents to
// callers, or an empty string if it cannot be reached.
func (c *cluster) certificateSerial(i int) string {
	conn, err := tls.Dial("tcp", c.nodes[i].settings.Callers, &tls.Config{InsecureSkipVerify: true})
	if err != nil {
		return ""
	}
	defer func() { _ = conn.Close() }()
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.String()
}

// TestCertificatesAreReplaced rotates the authority and every certificate while requests are
// served: first the instances trust the new authority beside the old one, then it issues all
// certificates, and then the old one is no longer trusted. No request may fail, and the instances
// must stay connected, including one that restarts afterwards.
func TestCertificatesAreReplaced(t *testing.T) {
	folder := t.TempDir()
	oldCA, newCA := newAuthority(t, folder, "before"), newAuthority(t, folder, "after")
	trustFile := filepath.Join(folder, "trusted.pem")
	trust := func(authorities ...*authority) {
		var all []byte
		for _, a := range authorities {
			all = append(all, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.cert.Raw})...)
		}
		writeFile(t, trustFile, string(all))
	}
	trust(oldCA)
	c := newClusterWith(t, 3, 3, false, func(s *settings.Settings) {
		s.TLS.Peers = oldCA.issueKeyPair(folder, string(s.Instance)+"-peer")
		s.TLS.Peers.CA = trustFile
		s.TLS.Callers = oldCA.issueKeyPair(folder, string(s.Instance)+"-callers")
		s.TLS.Callers.CA = ""
	})
	pool := x509.NewCertPool()
	pool.AddCert(oldCA.cert)
	pool.AddCert(newCA.cert)
	old := httpClient
	t.Cleanup(func() { httpClient = old })
	httpClient = &http.Client{Timeout: awaitTimeout, Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}
	c.scheme = "https://"
	c.addTargets(1, 1, standin.EngineConfig{Speed: 20})
	c.bootstrap()

	ctx, cancel := context.WithCancel(context.Background())
	sent := make(chan int, 1)
	go func() {
		n := 0
		for ; ctx.Err() == nil; n++ {
			if err := c.chat(n%3, "Over TLS?", 4); err != nil {
				t.Errorf("request %d: %v", n, err)
			}
		}
		sent <- n
	}()
	awaitLoaded := func(what string, times int) {
		t.Helper()
		c.await(what, func() bool {
			for _, nd := range c.nodes {
				data, err := os.ReadFile(nd.logPath)
				if err != nil || bytes.Count(data, []byte("event=certificate_loaded")) < times {
					return false
				}
			}
			return true
		})
	}
	oldSerial := c.certificateSerial(0)
	trust(oldCA, newCA)
	awaitLoaded("the new authority to be trusted", 1)
	for _, nd := range c.nodes {
		newCA.issueKeyPair(folder, string(nd.id)+"-peer")
		newCA.issueKeyPair(folder, string(nd.id)+"-callers")
	}
	awaitLoaded("the new certificates to be loaded", 3)
	trust(newCA)
	awaitLoaded("the old authority to be removed", 4)
	if newSerial := c.certificateSerial(0); newSerial == oldSerial || newSerial == "" {
		t.Errorf("callers receive certificate %q, want another than %q", newSerial, oldSerial)
	}
	cancel()
	if n := <-sent; n < 10 {
		t.Errorf("%d requests during the rotation, want at least 10", n)
	}
	c.kill(1)
	c.start(1)
	c.awaitReady(1)
	c.apply(1)
}
