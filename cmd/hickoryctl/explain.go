package main

import (
	"os"

	"github.com/hickoryridge/hickoryridge/internal/cli"
	"github.com/hickoryridge/hickoryridge/internal/log/trace"
)

// explain tells from log files what became of a request.
func explain(c *client, args []string) int {
	request, files := args[0], args[1:]
	var lines []trace.Line
	for _, name := range files {
		found, err := readLog(name, request)
		if err != nil {
			c.errorf("hickoryctl: %s: %v\n", name, err)
			return cli.ExitFailed
		}
		lines = append(lines, found...)
	}
	s, ok := trace.Assemble(request, lines)
	if !ok {
		c.errorf("hickoryctl: no line tells of request %s\n", request)
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

func readLog(name, request string) ([]trace.Line, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // it was only read
	return trace.Read(f, request)
}
