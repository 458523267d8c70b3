package main

import (
	"os"

	"github.com/hickoryridge/hickoryridge/internal/cli"
	"github.com/hickoryridge/hickoryridge/internal/log/trace"
)

// explain assembles the log lines of a request from the log files of several instances
// and prints them with the cause of its failure, if it failed.
func explain(c *client, args []string) int {
	request, files := args[0], args[1:]
	var lines []trace.Line
	for _, name := range files {
		matching, err := readLog(name, request)
		if err != nil {
			c.errorf("hickoryctl: %s: %v\n", name, err)
			return cli.ExitFailed
		}
		lines = append(lines, matching...)
	}
	s, ok := trace.Assemble(request, lines)
	if !ok {
		c.errorf("hickoryctl: no log line mentions request %s\n", request)
		return cli.ExitFailed
	}
	if c.json {
		return c.printJSON(s)
	}
	for _, l := range s.Lines {
		c.printf("%s\n", l.Text)
	}
	if s.Cause == "" {
		c.printf("answered whole\n")
		return cli.ExitOK
	}
	c.printf("cause: %s\n", s.Cause)
	return cli.ExitOK
}

// readLog returns the lines of a log file that mention a request.
func readLog(name, request string) ([]trace.Line, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // opened for reading only
	return trace.Read(f, request)
}
