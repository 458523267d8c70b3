// Package cert loads TLS certificates and reloads them when their files change.
//
// A Reloader checks the files every reloadInterval. A new certificate is used for new
// connections; open ones are not affected. Files that cannot be used, such as a new
// certificate with the old key, are ignored until they change.
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

// reloadInterval is the interval at which the files are read.
const reloadInterval = 2 * time.Second

// Files are the paths of a certificate, its key, and the CA certificates that verify peers.
// CA is empty if peers present no certificate.
type Files struct {
	Cert, Key, CA string
}

// Reloader holds the newest usable certificate. Use New to create one. Its TLS
// configurations are safe for concurrent use.
type Reloader struct {
	files    Files
	log      *logrus.Entry
	current  atomic.Pointer[certificate]
	rejected fileContents // last files that could not be used; owned by Run
	// unreadable is why the files could not be read last time; empty if they could. It is owned by
	// Run.
	unreadable string
}

// fileContents is the content of the files.
type fileContents struct {
	cert, key, ca []byte
}

func (c fileContents) equal(other fileContents) bool {
	return bytes.Equal(c.cert, other.cert) && bytes.Equal(c.key, other.key) && bytes.Equal(c.ca, other.ca)
}

// certificate is the parsed content of the files.
type certificate struct {
	fileContents
	pair  *tls.Certificate
	roots *x509.CertPool
}

// New reads the files. It returns an error if they cannot be read or do not match.
func New(files Files, log *logrus.Entry) (*Reloader, error) {
	r := &Reloader{files: files, log: log}
	c, err := r.read()
	if err != nil {
		return nil, err
	}
	l, err := load(c)
	if err != nil {
		return nil, err
	}
	r.current.Store(l)
	return r, nil
}

func (r *Reloader) read() (fileContents, error) {
	var c fileContents
	for _, f := range []struct {
		path string
		into *[]byte
	}{{r.files.Cert, &c.cert}, {r.files.Key, &c.key}, {r.files.CA, &c.ca}} {
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
	l := &certificate{fileContents: c, pair: &pair, roots: x509.NewCertPool()}
	if len(c.ca) > 0 && !l.roots.AppendCertsFromPEM(c.ca) {
		return nil, fault.New(fault.BadRequest, "the CA file contains no certificate")
	}
	return l, nil
}

// Run reloads the files periodically until ctx ends.
func (r *Reloader) Run(ctx context.Context) error {
	return task.Every(ctx, reloadInterval, func(context.Context) { r.reload() })
}

// reload reads the files and, if they have changed and are usable, uses the new certificate.
func (r *Reloader) reload() {
	c, err := r.read()
	if err != nil && err.Error() == r.unreadable {
		return // logged before
	}
	r.unreadable = ""
	if err != nil {
		r.unreadable = err.Error()
	}
	if err == nil && (c.equal(r.current.Load().fileContents) || c.equal(r.rejected)) {
		return
	}
	var l *certificate
	if err == nil {
		l, err = load(c)
	}
	fields := logrus.Fields{"event": "certificate_loaded", "file": r.files.Cert}
	if err != nil {
		r.rejected = c
		fields["event"], fields["cause"] = "certificate_refused", err
		r.log.WithFields(fields).Warn("certificate files cannot be used; the current certificate stays in use")
		return
	}
	r.rejected = fileContents{}
	r.current.Store(l)
	r.log.WithFields(fields).Info("certificate loaded; new connections use it")
}

// CallerConfig returns the configuration of a server whose clients present no certificate.
func (r *Reloader) CallerConfig() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: r.serverCertificate}
}

// PeerConfig returns the configuration for both ends of connections between instances.
func (r *Reloader) PeerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, GetCertificate: r.serverCertificate, GetClientCertificate: r.clientCertificate,
		// The CA certificates may change, so VerifyConnection verifies the peer at both ends,
		// including the required client certificate. Instances connect to IP addresses, so
		// the name in a certificate is not checked.
		ClientAuth: tls.RequireAnyClientCert, InsecureSkipVerify: true, VerifyConnection: r.verify,
	}
}

func (r *Reloader) serverCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return r.current.Load().pair, nil
}

func (r *Reloader) clientCertificate(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	return r.current.Load().pair, nil
}

// verify checks the peer's certificate chain against the current CA certificates.
func (r *Reloader) verify(cs tls.ConnectionState) error {
	if len(cs.PeerCertificates) == 0 {
		return fault.New(fault.Unauthorized, "the peer sent no certificate")
	}
	opts := x509.VerifyOptions{
		Roots: r.current.Load().roots, Intermediates: x509.NewCertPool(), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	}
	for _, c := range cs.PeerCertificates[1:] {
		opts.Intermediates.AddCert(c)
	}
	_, err := cs.PeerCertificates[0].Verify(opts)
	return err
}
