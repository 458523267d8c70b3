// Command hickoryload sends open-loop load to instances and reports latency and errors
// by tenant and class, or compares two reports.
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

exit codes: 0 success, 1 wrong answers or payments that ran more than once, 2 invalid usage
`

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, out, errs io.Writer) int {
	flags := flag.NewFlagSet("hickoryload", flag.ContinueOnError)
	flags.SetOutput(errs)
	flags.Usage = func() {
		_, _ = io.WriteString(errs, usage)
		flags.PrintDefaults()
	}
	callers := flags.String("callers", "http://127.0.0.1:8001,http://127.0.0.1:8002,http://127.0.0.1:8003", "comma-separated base `URLs` of instances")
	tenants := flags.String("tenants", "trinidad-north,trinidad-south,tobago", "comma-separated `names` of tenants that need no API key")
	ran := flags.String("ran", "", "comma-separated base `URLs` of fake services, to count payments that ran more than once")
	rate := flags.Float64("rate", 20, "request rate, per second")
	span := flags.Duration("for", 20*time.Second, "duration of the load")
	seed := flags.Uint64("seed", 1, "random seed of the arrival times and request kinds")
	tokens := flags.Int("tokens", 40, "tokens per answer")
	service := flags.String("service", "desk", "name of the plain HTTP service")
	lookup := flags.String("lookup", "/postage/", "path prefix of lookups at the plain HTTP service")
	mix := load.DefaultMix()
	flags.Float64Var(&mix.Short, "short", mix.Short, "share of short prompts")
	flags.Float64Var(&mix.Long, "long", mix.Long, "share of long prompts")
	flags.Float64Var(&mix.Lookup, "lookups", mix.Lookup, "share of idempotent lookups")
	flags.Float64Var(&mix.Payment, "payments", mix.Payment, "share of payments, which run at most once")
	asJSON := flags.Bool("json", false, "print the report as JSON")
	compare := flags.Bool("compare", false, "compare two JSON reports")
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
		CallerURLs: split(*callers), Model: "advisor", Service: *service, LookupPath: *lookup, ServiceURLs: split(*ran),
	}, load.Spec{Rate: *rate, Duration: *span, Seed: *seed, Mix: mix, Tenants: split(*tenants), Tokens: *tokens})
	if err := write(out, report, *asJSON); err != nil || report.Failed() {
		return cli.ExitFailed
	}
	return cli.ExitOK
}

// split splits a comma-separated list. An empty list has no elements.
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

// compareFiles prints two JSON reports side by side.
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
