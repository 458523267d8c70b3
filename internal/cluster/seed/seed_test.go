package seed

import (
	"testing"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/internal/net/answertest"
)

const info = `{"instance":"v1","address":"a:1","voter":true}`

// TestBrokenAnswers guards against an instance that is taken for a voter by an answer that is none.
func TestBrokenAnswers(t *testing.T) {
	for name, server := range answertest.Broken("", info) {
		t.Run(name, func(t *testing.T) {
			got, err := NewClient().Query(t.Context(), server.Start(t))
			if !fault.Is(err, fault.NotFound) && !fault.Is(err, fault.FrameInvalid) {
				t.Errorf("%+v, error %v of kind %v", got, err, fault.KindOf(err))
			}
		})
	}
}

// TestSoundAnswers checks answers that are not broken.
func TestSoundAnswers(t *testing.T) {
	for name, answer := range map[string]string{
		"with a length": "HTTP/1.1 200 OK\r\nContent-Length: 46\r\n\r\n" + info,
		"no length":     "HTTP/1.1 200 OK\r\n\r\n" + info,
	} {
		t.Run(name, func(t *testing.T) {
			server := answertest.Server{Answer: answer}
			if got, err := NewClient().Query(t.Context(), server.Start(t)); err != nil || got.ID != "v1" || !got.Voter {
				t.Errorf("%+v, %v", got, err)
			}
		})
	}
}
