// Command hickorystandin runs a fake model engine or a fake plain HTTP service that
// announces itself to instances. It is meant for tests and for local deployments.
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/cli"
	"github.com/hickoryridge/hickoryridge/internal/standin"
)

func main() { os.Exit(run()) }

// run serves the target and announces it until a signal arrives.
func run() int {
	kind := flag.String("kind", "engine", "kind of target: engine or service")
	listen := flag.String("listen", "127.0.0.1:0", "`address` to serve on")
	name := flag.String("target", "engine-1", "name of the target")
	service := flag.String("service", "darkroom-advisor", "name of the service that the target provides")
	region := flag.String("region", "north", "region of the target")
	domain := flag.String("domain", "north-a", "failure domain of the target")
	controls := flag.String("controls", "", "comma-separated control `addresses` of instances")
	model := flag.String("model", "advisor-model", "model that the engine serves")
	version := flag.String("version", "v1", "version of the model")
	software := flag.String("software", "", "version of the engine's software; empty for none")
	role := flag.String("role", "mixed", "role of the engine: mixed, prefill or decode")
	speed := flag.Float64("speed", 1, "factor by which the engine runs faster than real time")
	fencing := flag.Bool("fencing", true, "refuse orders with a stale fencing token")
	limit := flag.Float64("limit", -1, "`requests` per second that the target says it takes from all instances together; negative for no limit")
	flag.Parse()

	a := &standin.Announcer{
		Target: ident.TargetID(*name), Service: ident.ServiceID(*service),
		Region: ident.RegionID(*region), Domain: ident.DomainID(*domain),
		Controls: strings.Split(*controls, ","), Incarnation: ident.Incarnation(time.Now().UnixNano()),
	}
	t, err := start(*kind, *listen, a, standin.EngineConfig{
		Model: *model, Version: *version, Software: ident.SoftwareVersion(*software), Role: desired.Role(*role), Rates: standin.DefaultRates(), Speed: *speed, Fencing: *fencing,
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cli.ExitFailed
	}
	defer t.close()
	if rate := ident.RequestsPerSecond(*limit); rate >= 0 {
		t.limit.Set(&rate)
	}
	fmt.Printf("event=started target=%s address=%s\n", a.Target, a.Address)
	a.Run(cli.SignalContext())
	return cli.ExitOK
}

// fakeTarget is a fake target that serves requests.
type fakeTarget struct {
	limit *standin.RateLimit
	close func()
}

// start serves a fake target and sets its address in a.
func start(kind, listen string, a *standin.Announcer, cfg standin.EngineConfig) (fakeTarget, error) {
	switch kind {
	case "engine":
		e, err := standin.StartEngine(listen, cfg)
		if err != nil {
			return fakeTarget{}, err
		}
		a.Engine, a.Address, a.Incarnation = e, e.Addr(), e.Incarnation()
		return fakeTarget{&e.Limit, e.Close}, nil
	case "service":
		s, err := standin.StartService(listen)
		if err != nil {
			return fakeTarget{}, err
		}
		a.Address, a.Plain = s.Addr(), s
		return fakeTarget{&s.Limit, s.Close}, nil
	default:
		return fakeTarget{}, fmt.Errorf("-kind: %q is neither engine nor service", kind)
	}
}
