//go:build !race

package e2e

// buildFlags is empty when the test runs without the race detector.
var buildFlags []string
