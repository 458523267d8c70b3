package cert

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"io"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
)

// writePair writes a self-signed certificate and its key.
func writePair(t *testing.T, f Files) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	for path, block := range map[string]*pem.Block{f.Cert: {Type: "CERTIFICATE", Bytes: der}, f.Key: {Type: "PRIVATE KEY", Bytes: private}} {
		if err := os.WriteFile(path, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// TestUnreadableFileIsLoggedOnce checks that a file that stays unreadable is not logged at every
// reload, and again once it has been readable in between.
func TestUnreadableFileIsLoggedOnce(t *testing.T) {
	folder := t.TempDir()
	files := Files{Cert: filepath.Join(folder, "cert.pem"), Key: filepath.Join(folder, "key.pem")}
	writePair(t, files)
	logger, hook := logtest.NewNullLogger()
	logger.SetOutput(io.Discard)
	r, err := New(files, logrus.NewEntry(logger))
	if err != nil {
		t.Fatal(err)
	}
	for round := 1; round <= 2; round++ {
		if err := os.Remove(files.Key); err != nil {
			t.Fatal(err)
		}
		for range 5 {
			r.reload()
		}
		refused := 0
		for _, e := range hook.AllEntries() {
			if e.Data["event"] == "certificate_refused" {
				refused++
			}
		}
		if refused != round {
			t.Errorf("logged %d times after the key was removed %d times", refused, round)
		}
		writePair(t, files)
		r.reload()
	}
}
