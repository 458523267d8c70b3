// Command hickorystandin runs a fake model engine or a fake plain service that
// announces itself to instances. It is for trials and tests.
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

func run() int {
	kind := flag.String("kind", "engine", "engine or service")
	listen := flag.String("listen", "127.0.0.1:0", "`address` to serve on")
	name := flag.String("target", "engine-1", "name of the target")
	service := flag.String("service", "darkroom-advisor", "name of the service that it offers")
	region := flag.String("region", "north", "region")
	domain := flag.String("domain", "north-a", "failure domain")
	controls := flag.String("controls", "", "control `addresses` of instances, separated by commas")
	model := flag.String("model", "advisor-model", "model that the engine has loaded")
	version := flag.String("version", "v1", "version of the model")
	role := flag.String("role", "mixed", "mixed, prefill or decode")
	speed := flag.Float64("speed", 1, "factor by which the engine is faster than real")
	fencing := flag.Bool("fencing", true, "refuse orders with an old fencing number")
	flag.Parse()

	a := &standin.Announcer{
		Target: ident.TargetID(*name), Service: ident.ServiceID(*service),
		Region: ident.RegionID(*region), Domain: ident.DomainID(*domain),
		Controls: strings.Split(*controls, ","), Incarnation: ident.Incarnation(time.Now().UnixNano()),
	}
	end, err := start(*kind, *listen, a, standin.EngineConfig{
		Model: *model, Version: *version, Role: desired.Role(*role), Rates: standin.DefaultRates(), Speed: *speed, Fencing: *fencing,
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cli.ExitFailed
	}
	defer end()
	fmt.Printf("event=started target=%s address=%s\n", a.Target, a.Address)
	a.Run(cli.SignalContext())
	return cli.ExitOK
}

// start starts the fake and fills in its address.
func start(kind, listen string, a *standin.Announcer, cfg standin.EngineConfig) (end func(), err error) {
	switch kind {
	case "engine":
		e, err := standin.StartEngine(listen, cfg)
		if err != nil {
			return nil, err
		}
		a.Engine, a.Address, a.Incarnation = e, e.Addr(), e.Incarnation()
		return e.Close, nil
	case "service":
		s, err := standin.StartService(listen)
		if err != nil {
			return nil, err
		}
		a.Address = s.Addr()
		return s.Close, nil
	default:
		return nil, fmt.Errorf("-kind: want engine or service, not %q", kind)
	}
}
