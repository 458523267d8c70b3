package e2e

import (
	"net"
	"os"
	"testing"
)

// writeFile writes text to a file that only its owner may read.
func writeFile(t testing.TB, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// dial opens a TCP connection and sends text.
func dial(t testing.TB, addr, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := c.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
	return c
}
