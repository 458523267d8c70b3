// Package e2e tests the system end to end. Each instance runs as a process of its own; the tests
// kill it, suspend it with SIGSTOP, partition it from the others or delete its disk while requests,
// orders and configuration changes are in progress.
//
// The targets are stand-ins that run inside the test process, so that a test can compare the
// responses with what the targets executed.
package e2e
