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

// authority signs certificates for a test.
type authority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	file string
}

func newAuthority(t *testing.T, folder, name string) *authority {
	a := &authority{t: t, file: filepath.Join(folder, name+".pem")}
	a.cert, a.key = a.sign(name, nil)
	writePEM(t, a.file, "CERTIFICATE", a.cert.Raw)
	return a
}

// sign returns a new certificate and its key; a nil issuer means self-signed.
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

// pair writes a certificate and its key and returns their files.
func (a *authority) pair(folder, name string) settings.KeyPair {
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

func writePEM(t *testing.T, path, kind string, raw []byte) {
	t.Helper()
	writeFile(t, path, string(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw})))
}

// TestTLS runs three instances with certificates, and refuses one of a stranger.
func TestTLS(t *testing.T) {
	folder := t.TempDir()
	ours, stranger := newAuthority(t, folder, "ours"), newAuthority(t, folder, "stranger")
	c := newClusterWith(t, 3, 3, false, func(s *settings.Settings) {
		s.TLS.Peers = ours.pair(folder, string(s.Instance)+"-peer")
		s.TLS.Callers = ours.pair(folder, string(s.Instance)+"-callers")
		s.TLS.Callers.CA = ""
	})
	pool := x509.NewCertPool()
	pool.AddCert(ours.cert)
	old := httpClient
	t.Cleanup(func() { httpClient = old })
	httpClient = &http.Client{Timeout: awaitTime, Transport: &http.Transport{
		DisableKeepAlives: true, TLSClientConfig: &tls.Config{RootCAs: pool},
	}}
	c.scheme = "https://"
	c.addTargets(1, 1, standin.EngineConfig{Speed: 20})
	c.up()
	for i := range c.nodes {
		if err := c.chat(i, "Over TLS?", 4); err != nil {
			t.Error(err)
		}
	}
	cert, err := tls.LoadX509KeyPair(stranger.pair(folder, "s").Cert, filepath.Join(folder, "s.key"))
	if err != nil {
		t.Fatal(err)
	}
	conn, err := tls.Dial("tcp", c.nodes[0].settings.Peer, &tls.Config{Certificates: []tls.Certificate{cert}, InsecureSkipVerify: true})
	if err == nil {
		_ = conn.SetReadDeadline(time.Now().Add(awaitTime))
		if _, err = conn.Read(make([]byte, 1)); err == nil {
			t.Error("a stranger's certificate was accepted")
		}
		_ = conn.Close()
	}
}

// serial returns the number of the certificate that callers of an instance are shown.
func (c *cluster) serial(i int) string {
	conn, err := tls.Dial("tcp", c.nodes[i].settings.Callers, &tls.Config{InsecureSkipVerify: true})
	if err != nil {
		return ""
	}
	defer func() { _ = conn.Close() }()
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.String()
}

// TestCertificatesAreReplaced replaces the authority and every certificate while questions
// are answered: first the new authority is trusted beside the old one, then it signs all
// certificates, then the old one is trusted no more. No question fails, and the instances
// keep each other, also one that is started anew.
func TestCertificatesAreReplaced(t *testing.T) {
	folder := t.TempDir()
	before, after := newAuthority(t, folder, "before"), newAuthority(t, folder, "after")
	trusted := filepath.Join(folder, "trusted.pem")
	trust := func(as ...*authority) {
		var all []byte
		for _, a := range as {
			all = append(all, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.cert.Raw})...)
		}
		writeFile(t, trusted, string(all))
	}
	trust(before)
	c := newClusterWith(t, 3, 3, false, func(s *settings.Settings) {
		s.TLS.Peers = before.pair(folder, string(s.Instance)+"-peer")
		s.TLS.Peers.CA = trusted
		s.TLS.Callers = before.pair(folder, string(s.Instance)+"-callers")
		s.TLS.Callers.CA = ""
	})
	pool := x509.NewCertPool()
	pool.AddCert(before.cert)
	pool.AddCert(after.cert)
	old := httpClient
	t.Cleanup(func() { httpClient = old })
	httpClient = &http.Client{Timeout: awaitTime, Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}
	c.scheme = "https://"
	c.addTargets(1, 1, standin.EngineConfig{Speed: 20})
	c.up()

	ctx, cancel := context.WithCancel(context.Background())
	asked := make(chan int, 1)
	go func() {
		n := 0
		for ; ctx.Err() == nil; n++ {
			if err := c.chat(n%3, "Over TLS?", 4); err != nil {
				t.Errorf("question %d: %v", n, err)
			}
		}
		asked <- n
	}()
	loaded := func(what string, times int) {
		t.Helper()
		c.await(what, func() bool {
			for _, nd := range c.nodes {
				data, err := os.ReadFile(nd.log)
				if err != nil || bytes.Count(data, []byte("event=certificate_loaded")) < times {
					return false
				}
			}
			return true
		})
	}
	shown := c.serial(0)
	trust(before, after)
	loaded("the new authority to be trusted", 1)
	for _, nd := range c.nodes {
		after.pair(folder, string(nd.id)+"-peer")
		after.pair(folder, string(nd.id)+"-callers")
	}
	loaded("the new certificates", 3)
	trust(after)
	loaded("the old authority to be forgotten", 4)
	if now := c.serial(0); now == shown || now == "" {
		t.Errorf("callers are shown certificate %q, before %q", now, shown)
	}
	cancel()
	if n := <-asked; n < 10 {
		t.Errorf("%d questions while certificates were replaced", n)
	}
	c.kill(1)
	c.start(1)
	c.awaitReady(1)
	c.apply(1)
}
