package permit

import (
	"math"
	"net/http"
	"strconv"
	"strings"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
)

// Statement is what an answer of a target says about the target's rate limit: Named or NotNamed.
// A nil Statement means that the answer says nothing.
type Statement interface{ statement() }

// Named is the statement that the target takes at most Rate from all instances together.
type Named struct{ Rate ident.RequestsPerSecond }

// NotNamed is the statement that the target has no rate limit at present.
type NotNamed struct{}

func (Named) statement()    {}
func (NotNamed) statement() {}

// ParseStatement parses the values of the header in which a target names its rate limit, a decimal
// number of requests per second. A successful answer without the header states that there is no
// limit; a failure without it says nothing. The error, of kind fault.FrameInvalid, means that the
// header cannot be read, so that the answer says nothing either.
func ParseStatement(status int, values []string) (Statement, error) {
	if len(values) == 0 && status >= http.StatusMultipleChoices {
		return nil, nil
	}
	if len(values) == 0 {
		return NotNamed{}, nil
	}
	if len(values) > 1 {
		return nil, fault.New(fault.FrameInvalid, "rate limit is named %d times", len(values))
	}
	rate, err := strconv.ParseFloat(strings.TrimSpace(values[0]), 64)
	if err != nil || math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		return nil, fault.New(fault.FrameInvalid, "rate limit %.40q is not a decimal number of requests per second", values[0])
	}
	return Named{ident.RequestsPerSecond(rate)}, nil
}
