//go:build race

package e2e

// buildFlags build the processes under test with the race detector when the test itself uses it.
var buildFlags = []string{"-race"}
