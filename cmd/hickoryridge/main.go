// Command hickoryridge runs an instance of the serving system.
//
//	hickoryridge serve [-settings FILE] run an instance; without the flag, the environment
//	                                    variable HICKORYRIDGE_SETTINGS names the file
//	hickoryridge check -settings FILE   validate a settings file
//	hickoryridge demo [-keep]           run an instance with fake targets in one process
//	                                    and send sample requests
//	hickoryridge version                print the version
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/sirupsen/logrus"

	"github.com/hickoryridge/hickoryridge/instance"
	"github.com/hickoryridge/hickoryridge/internal/cli"
	"github.com/hickoryridge/hickoryridge/internal/demo"
	"github.com/hickoryridge/hickoryridge/internal/host/signals"
	"github.com/hickoryridge/hickoryridge/internal/log/stdout"
	"github.com/hickoryridge/hickoryridge/internal/task"
	"github.com/hickoryridge/hickoryridge/settings"
)

const usage = `usage:
  hickoryridge serve [-settings FILE] run an instance; without the flag, the environment
                                      variable HICKORYRIDGE_SETTINGS names the file
  hickoryridge check -settings FILE   validate a settings file (exit 2 if it is invalid)
  hickoryridge demo [-keep]           run an instance with fake targets in one process
                                      and send sample requests
  hickoryridge version                print the version
`

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) == 0 {
		fmt.Fprint(os.Stderr, usage)
		return cli.ExitInvalid
	}
	if args[0] == "serve" {
		return serve(args[1:])
	}
	signals.Default()
	switch args[0] {
	case "check":
		return check(args[1:])
	case "demo":
		return runDemo(args[1:])
	case "version":
		fmt.Println("hickoryridge", cli.Version)
		return cli.ExitOK
	case "help", "-h", "-help", "--help":
		fmt.Print(usage)
		return cli.ExitOK
	default:
		fmt.Fprintf(os.Stderr, "unknown command %q\n%s", args[0], usage)
		return cli.ExitInvalid
	}
}

// source identifies a settings file and how it is parsed.
type source struct {
	path string
	// lenient accepts unknown fields. It is set if the environment names the file, since
	// another system may have written it.
	lenient bool
}

// loadSettings parses the flags of a command that takes a settings file and loads the
// file. The settings are nil if the exit code is not cli.ExitOK.
func loadSettings(command string, args []string) (*settings.Settings, source, int) {
	flags := flag.NewFlagSet(command, flag.ContinueOnError)
	path := flags.String("settings", "", "settings `file`")
	if err := flags.Parse(args); err != nil {
		return nil, source{}, cli.ExitInvalid
	}
	from := source{path: *path}
	if from.path == "" {
		from = source{path: os.Getenv(settings.PathVariable), lenient: true}
	}
	if from.path == "" || flags.NArg() > 0 {
		fmt.Fprintf(os.Stderr, "%s: requires -settings FILE or the environment variable %s, and no other arguments\n", command, settings.PathVariable)
		return nil, source{}, cli.ExitInvalid
	}
	s, faults, err := settings.Load(from.path, from.lenient)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return nil, source{}, cli.ExitInvalid
	}
	if len(faults) > 0 {
		cli.PrintFaults(os.Stderr, from.path, faults)
		return nil, source{}, cli.ExitInvalid
	}
	return s, from, cli.ExitOK
}

// serve runs an instance and its log writer until a signal arrives.
func serve(args []string) int {
	s, from, code := loadSettings("serve", args)
	if s == nil {
		return code
	}
	lines := stdout.New(os.Stdout, stdout.DefaultLines)
	logs := task.New(context.Background())
	logs.Go("log", lines.Run)
	code = serveInstance(s, from, cli.Logger(lines, s.Log.Level))
	logs.Stop()
	_ = logs.Wait() // a log writer's error does not change the instance's exit code
	return code
}

// serveInstance runs the instance until a signal stops it, and reloads its settings when the file changes, also
// while it stops.
func serveInstance(s *settings.Settings, from source, logger *logrus.Logger) int {
	if s.Limits.Memory > 0 {
		// The remaining quarter is left for memory that the runtime does not count.
		debug.SetMemoryLimit(int64(s.Limits.Memory) / 4 * 3)
	}
	in, err := instance.New(s, logger)
	if err != nil {
		logger.WithField("event", "start_failed").Error(err)
		return cli.ExitFailed
	}
	watch := settings.Watch{Path: from.path, Lenient: from.lenient, Loaded: s, Signals: signals.Reloads(), Changed: in.Reload, Log: logger}
	handlers := task.New(context.Background())
	handlers.Go("settings", watch.Run)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	handlers.Go("stop", func(end context.Context) error {
		defer stop()
		return signals.AwaitStop(end)
	})
	err = in.Run(ctx)
	handlers.Stop()
	if ended := handlers.Wait(); err == nil {
		err = ended
	}
	if err != nil {
		logger.WithField("event", "run_failed").Error(err)
		return cli.ExitFailed
	}
	return cli.ExitOK
}

// check validates a settings file.
func check(args []string) int {
	s, _, code := loadSettings("check", args)
	if s == nil {
		return code
	}
	fmt.Printf("settings of instance %s are valid\n", s.Instance)
	return cli.ExitOK
}

// runDemo runs the demo, which fails if an answer is not as expected.
func runDemo(args []string) int {
	flags := flag.NewFlagSet("demo", flag.ContinueOnError)
	keep := flags.Bool("keep", false, "keep serving after the sample requests")
	if err := flags.Parse(args); err != nil {
		return cli.ExitInvalid
	}
	if err := demo.Run(cli.SignalContext(), os.Stdout, *keep); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		return cli.ExitFailed
	}
	return cli.ExitOK
}
