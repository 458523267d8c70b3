// Command hickoryctl is the operators' command line.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/hickoryridge/hickoryridge/internal/cli"
)

const usage = `usage: hickoryctl [-control ADDRESS] [-json] COMMAND

  check FILE                    validate a desired-state document here
  apply FILE                    apply a document and wait until it is in force
  show                          print the document
  status                        print instances, voters, orders and receipts
  targets                       print the targets that the instance knows
  drain TARGET                  take a target out of service
  undrain TARGET                put a target back into service
  receipt TENANT SERVICE KEY    print what is known of a request that runs once
  explain REQUEST LOG...        tell from log files what became of a request
  voter add INSTANCE            admit an instance's disk as a voter, in place of its old one
  voter remove INSTANCE         remove an instance from the voters

exit codes: 0 done, 1 failed, 2 bad usage or document, 3 accepted but not in force yet
`

// exitNotInForce tells that a document was accepted but is not in force yet.
const exitNotInForce = 3

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// command runs one command with its arguments.
type command struct {
	args int
	more bool // more arguments may follow
	run  func(c *client, args []string) int
}

var commands = map[string]command{
	"check":   {args: 1, run: check},
	"apply":   {args: 1, run: apply},
	"show":    {args: 0, run: show},
	"status":  {args: 0, run: status},
	"targets": {args: 0, run: targets},
	"drain":   {args: 1, run: func(c *client, args []string) int { return setDrained(c, args[0], true) }},
	"undrain": {args: 1, run: func(c *client, args []string) int { return setDrained(c, args[0], false) }},
	"receipt": {args: 3, run: receipt},
	"explain": {args: 2, more: true, run: explain},
	"voter":   {args: 2, run: voter},
}

func run(args []string, out, errs io.Writer) int {
	flags := flag.NewFlagSet("hickoryctl", flag.ContinueOnError)
	flags.SetOutput(errs)
	flags.Usage = func() { _, _ = io.WriteString(errs, usage) }
	control := flags.String("control", envOr("HICKORY_CONTROL", "127.0.0.1:8101"), "control `address` of an instance")
	asJSON := flags.Bool("json", false, "print JSON")
	if err := flags.Parse(args); err != nil {
		return cli.ExitInvalid
	}
	if flags.NArg() == 0 {
		flags.Usage()
		return cli.ExitInvalid
	}
	name, rest := flags.Arg(0), flags.Args()[1:]
	cmd, ok := commands[name]
	if !ok || len(rest) < cmd.args || len(rest) > cmd.args && !cmd.more {
		_, _ = fmt.Fprintf(errs, "hickoryctl: %q with %d arguments is not a command\n", name, len(rest))
		flags.Usage()
		return cli.ExitInvalid
	}
	return cmd.run(&client{control: *control, json: *asJSON, out: out, errs: errs}, rest)
}

func envOr(name, fallback string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return fallback
}
