package instance

import (
	"github.com/sirupsen/logrus"

	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/host/startup"
)

// reach records a step from the start of this instance to its first answer. With that answer it logs all steps, in
// milliseconds since the start, and sets their gauges, startup_<step>_ms.
func (in *Instance) reach(s startup.Step) {
	if !in.startup.Reach(clock.Now(), s) || s != startup.Answer {
		return
	}
	fields := logrus.Fields{"event": "first_answer"}
	for step, after := range in.startup.Times() {
		fields[step.String()] = after.Milliseconds()
		in.metrics.Gauge("startup_"+step.String()+"_ms", float64(after.Milliseconds()))
	}
	in.log.WithFields(fields).Info("first complete answer since the start")
}
