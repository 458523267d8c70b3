// Command hickoryload sends open-loop load to instances and reports by tenant and
// class, or compares two reports.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/hickoryridge/hickoryridge/internal/cli"
	"github.com/hickoryridge/hickoryridge/internal/load"
)

const usage = `usage:
  hickoryload [flags]                  send load and print a report
  hickoryload -compare A.json B.json   print two reports side by side

exit codes: 0 done, 1 wrong answers or payments that ran twice, 2 bad usage
`

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, out, errs io.Writer) int {
	flags := flag.NewFlagSet("hickoryload", flag.ContinueOnError)
	flags.SetOutput(errs)
	flags.Usage = func() {
		_, _ = io.WriteString(errs, usage)
		flags.PrintDefaults()
	}
	callers := flags.String("callers", "http://127.0.0.1:8001,http://127.0.0.1:8002,http://127.0.0.1:8003", "`URLs` of instances, separated by commas")
	tenants := flags.String("tenants", "trinidad-north,trinidad-south,tobago", "`names` of tenants without keys")
	ran := flags.String("ran", "", "`URLs` of fake services, to count payments that ran twice")
	rate := flags.Float64("rate", 20, "requests a second")
	span := flags.Duration("for", 20*time.Second, "how long to send")
	seed := flags.Uint64("seed", 1, "seed of arrivals and mix")
	tokens := flags.Int("tokens", 40, "tokens of an answer")
	service := flags.String("service", "desk", "plain service")
	lookup := flags.String("lookup", "/postage/", "path of lookups at the plain service")
	mix := load.DefaultMix()
	flags.Float64Var(&mix.Short, "short", mix.Short, "share of short questions")
	flags.Float64Var(&mix.Long, "long", mix.Long, "share of long documents")
	flags.Float64Var(&mix.Lookup, "lookups", mix.Lookup, "share of lookups")
	flags.Float64Var(&mix.Payment, "payments", mix.Payment, "share of payments")
	asJSON := flags.Bool("json", false, "print the report as JSON")
	compare := flags.Bool("compare", false, "compare two reports")
	if err := flags.Parse(args); err != nil {
		return cli.ExitInvalid
	}
	if *compare {
		return compareFiles(flags.Args(), out, errs)
	}
	if flags.NArg() > 0 || *rate <= 0 || *span <= 0 || *tokens <= 0 {
		flags.Usage()
		return cli.ExitInvalid
	}
	report := load.Run(cli.SignalContext(), errs, load.Target{
		Callers: split(*callers), Model: "advisor", Service: *service, Lookup: *lookup, Ran: split(*ran),
	}, load.Spec{Rate: *rate, For: *span, Seed: *seed, Mix: mix, Tenants: split(*tenants), Tokens: *tokens})
	if err := write(out, report, *asJSON); err != nil || report.Failed() {
		return cli.ExitFailed
	}
	return cli.ExitOK
}

func split(list string) []string {
	if list == "" {
		return nil
	}
	return strings.Split(list, ",")
}

func write(out io.Writer, r *load.Report, asJSON bool) error {
	if !asJSON {
		return r.Print(out)
	}
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}

func compareFiles(paths []string, out, errs io.Writer) int {
	if len(paths) != 2 {
		_, _ = io.WriteString(errs, usage)
		return cli.ExitInvalid
	}
	var reports [2]load.Report
	for i, path := range paths {
		data, err := os.ReadFile(path)
		if err == nil {
			err = json.Unmarshal(data, &reports[i])
		}
		if err != nil {
			fmt.Fprintf(errs, "hickoryload: %s: %v\n", path, err)
			return cli.ExitInvalid
		}
	}
	if load.Compare(out, &reports[0], &reports[1]) != nil {
		return cli.ExitFailed
	}
	return cli.ExitOK
}
