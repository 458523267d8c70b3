// Package cert keeps certificates that are replaced while they are in use.
//
// A Keeper reads the files of a certificate, and reads them again every few seconds. What
// has changed counts for connections that begin afterwards; open ones go on. Files that
// cannot be used, such as a new certificate beside the old key, change nothing until they can.
package cert

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/internal/task"
)

// reloadInterval is the interval at which files are read again.
const reloadInterval = 2 * time.Second

// Files names the files of a certificate, its key, and the authorities that sign those of
// others. CA is empty where others show none.
type Files struct {
	Cert, Key, CA string
}

// Reloader holds the newest usable certificate. Use New.
type Reloader struct {
	files    Files
	log      *logrus.Entry
	current  atomic.Pointer[certificate]
	rejected fileContents // the files that could not be used last; owned by Run
}

// fileContents is what the files held.
type fileContents struct {
	cert, key, ca []byte
}

func (c fileContents) equal(other fileContents) bool {
	return bytes.Equal(c.cert, other.cert) && bytes.Equal(c.key, other.key) && bytes.Equal(c.ca, other.ca)
}

// certificate is what the files stood for.
type certificate struct {
	fileContents
	pair        *tls.Certificate
	authorities *x509.CertPool
}

// New reads the files for the first time.
func New(files Files, log *logrus.Entry) (*Reloader, error) {
	k := &Reloader{files: files, log: log}
	c, err := k.read()
	if err != nil {
		return nil, err
	}
	l, err := load(c)
	if err != nil {
		return nil, err
	}
	k.current.Store(l)
	return k, nil
}

func (k *Reloader) read() (fileContents, error) {
	var c fileContents
	for _, f := range []struct {
		path string
		into *[]byte
	}{{k.files.Cert, &c.cert}, {k.files.Key, &c.key}, {k.files.CA, &c.ca}} {
		if f.path == "" {
			continue
		}
		data, err := os.ReadFile(f.path)
		if err != nil {
			return fileContents{}, fault.Wrap(fault.NotFound, err)
		}
		*f.into = data
	}
	return c, nil
}

func load(c fileContents) (*certificate, error) {
	pair, err := tls.X509KeyPair(c.cert, c.key)
	if err != nil {
		return nil, fault.Wrap(fault.BadRequest, err)
	}
	l := &certificate{fileContents: c, pair: &pair, authorities: x509.NewCertPool()}
	if len(c.ca) > 0 && !l.authorities.AppendCertsFromPEM(c.ca) {
		return nil, fault.New(fault.BadRequest, "the authorities' file has no certificate")
	}
	return l, nil
}

// Run is the duty that reads the files again until ctx ends.
func (k *Reloader) Run(ctx context.Context) error {
	return task.Every(ctx, reloadInterval, func(context.Context) { k.reload() })
}

// reload takes changed files.
func (k *Reloader) reload() {
	c, err := k.read()
	if err == nil && (c.equal(k.current.Load().fileContents) || c.equal(k.rejected)) {
		return
	}
	var l *certificate
	if err == nil {
		l, err = load(c)
	}
	fields := logrus.Fields{"event": "certificate_loaded", "file": k.files.Cert}
	if err != nil {
		k.rejected = c
		fields["event"], fields["cause"] = "certificate_refused", err
		k.log.WithFields(fields).Warn("certificate cannot be used; the present one stays")
		return
	}
	k.rejected = fileContents{}
	k.current.Store(l)
	k.log.WithFields(fields).Info("certificate loaded")
}

// CallerConfig returns the configuration of a server whose callers show no certificate.
func (k *Reloader) CallerConfig() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: k.serverCertificate}
}

// PeerConfig returns the configuration of both ends of connections between instances.
func (k *Reloader) PeerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, GetCertificate: k.serverCertificate, GetClientCertificate: k.clientCertificate,
		// The authorities may change, so that VerifyConnection checks for both ends, also
		// the certificate that a client has to show. Instances are reached by IP number: the
		// name in a certificate does not count.
		ClientAuth: tls.RequireAnyClientCert, InsecureSkipVerify: true, VerifyConnection: k.verify,
	}
}

func (k *Reloader) serverCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return k.current.Load().pair, nil
}

func (k *Reloader) clientCertificate(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	return k.current.Load().pair, nil
}

// verify checks the other side's chain against the authorities.
func (k *Reloader) verify(cs tls.ConnectionState) error {
	if len(cs.PeerCertificates) == 0 {
		return fault.New(fault.Unauthorized, "the other side sent no certificate")
	}
	opts := x509.VerifyOptions{
		Roots: k.current.Load().authorities, Intermediates: x509.NewCertPool(), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	}
	for _, c := range cs.PeerCertificates[1:] {
		opts.Intermediates.AddCert(c)
	}
	_, err := cs.PeerCertificates[0].Verify(opts)
	return err
}
