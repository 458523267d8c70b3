package peer

import (
	"fmt"
	"strings"
	"sync/atomic"
)

// traffic counts the bytes of frames by message kind, when they are queued for sending. It is safe
// for concurrent use.
type traffic struct {
	sent [kindCount]atomic.Int64
}

func (t *traffic) count(b Body, frame []byte) { t.sent[b.kind()].Add(int64(len(frame))) }

// SentBytes returns the bytes of the frames that this instance has queued for sending, by the
// lower-case name of the message type. Frames that were dropped later are included; the Hello of a
// connection is not. Message types without any bytes are left out.
func (n *Network) SentBytes() map[string]int64 {
	sent := map[string]int64{}
	for k := range n.traffic.sent {
		bytes := n.traffic.sent[k].Load()
		if bytes == 0 {
			continue
		}
		name := strings.TrimPrefix(fmt.Sprintf("%T", newBody(kind(k))), "*peer.")
		sent[strings.ToLower(name)] = bytes
	}
	return sent
}
