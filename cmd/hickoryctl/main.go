// Command hickoryctl is the command-line client of an instance's control API. Operators
// use it to apply documents, inspect targets and receipts and change the voters.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/hickoryridge/hickoryridge/internal/cli"
)

const usageText = `usage: hickoryctl [-control ADDRESS] [-json] COMMAND

  check FILE                    validate a desired-state document locally
  apply FILE                    apply a document and wait up to 3 s until it is in force
  show                          print the newest document
  status                        print instances, voters, orders and receipts
  targets                       print the targets that the instance has in its table
  drain TARGET                  stop sending new requests to a target
  undrain TARGET                send new requests to a drained target again
  duties                        print who holds the duties of one instance at a time, and what it sends
  usage                         print the requests of each workspace that have not been reported yet
  capacity                      print demand, targets and orders of the services whose capacity is bounded
  parts                         print the parts of prompts and the requests in quarantine, because they crash targets
  release SERVICE PART          end the quarantine of a part of prompts
  receipt TENANT SERVICE KEY    print the receipt of a request that runs at most once
  explain REQUEST LOG...        reconstruct the outcome of a request from log files
  voter add INSTANCE            add an instance's disk as a voter, replacing its old disk
  voter remove INSTANCE         remove an instance from the voters

exit codes: 0 success, 1 failure, 2 invalid usage or document, 3 accepted but not in force yet
`

// exitNotInForce is the exit code for a document that the leader accepted but that is
// not in force at every instance yet.
const exitNotInForce = 3

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// command is one subcommand.
type command struct {
	args     int  // number of arguments
	variadic bool // more than args arguments are allowed
	run      func(c *client, args []string) int
}

var commands = map[string]command{
	"check":    {args: 1, run: check},
	"apply":    {args: 1, run: apply},
	"show":     {args: 0, run: show},
	"status":   {args: 0, run: status},
	"targets":  {args: 0, run: targets},
	"drain":    {args: 1, run: func(c *client, args []string) int { return setDrained(c, args[0], true) }},
	"undrain":  {args: 1, run: func(c *client, args []string) int { return setDrained(c, args[0], false) }},
	"duties":   {args: 0, run: showDuties},
	"usage":    {args: 0, run: showUsage},
	"capacity": {args: 0, run: showCapacity},
	"parts":    {args: 0, run: parts},
	"release":  {args: 2, run: release},
	"receipt":  {args: 3, run: receipt},
	"explain":  {args: 2, variadic: true, run: explain},
	"voter":    {args: 2, run: voter},
}

func run(args []string, out, errs io.Writer) int {
	flags := flag.NewFlagSet("hickoryctl", flag.ContinueOnError)
	flags.SetOutput(errs)
	flags.Usage = func() { _, _ = io.WriteString(errs, usageText) }
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
	if !ok || len(rest) < cmd.args || len(rest) > cmd.args && !cmd.variadic {
		_, _ = fmt.Fprintf(errs, "hickoryctl: unknown command %q with %d arguments\n", name, len(rest))
		flags.Usage()
		return cli.ExitInvalid
	}
	return cmd.run(&client{control: *control, json: *asJSON, out: out, errs: errs}, rest)
}

// envOr returns an environment variable, or fallback if it is unset or empty.
func envOr(name, fallback string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return fallback
}
