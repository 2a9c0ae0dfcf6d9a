package peer

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/monsooncrank/monsooncrank/coordination/membership"
)

func errorAs(err error, target any) bool { return errors.As(err, target) }

// FuzzFrame guards against frames that crash the decoder or the membership core,
// and against decoded messages that cannot be encoded again.
func FuzzFrame(f *testing.F) {
	message := membership.Message{Sender: membership.Delta{Name: "a", Incarnation: 1},
		Deltas: []membership.Delta{{Name: "b", Rank: 3}}, Sync: true}
	frame, err := appendFrame(nil, &header{Method: methodHeartbeat, Sequence: 1}, &message, defaultMaxFrameBytes)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(frame[lengthPrefixBytes:])
	f.Fuzz(func(t *testing.T, frame []byte) {
		var h header
		body, err := decodeHeader(frame, &h)
		if err != nil {
			return
		}
		var m membership.Message
		if decodeBody(body, &m) != nil {
			return
		}
		if _, err := cbor.Marshal(&m); err != nil {
			t.Fatalf("a decoded message cannot be encoded: %v", err)
		}
		now := time.Unix(1000, 0)
		core := membership.New(membership.Options{}, membership.Member{Name: "a", Incarnation: 1}, rand.New(rand.NewPCG(1, 1)), now)
		for range 3 {
			core.Step(now, membership.MessageEvent{Message: &m, Heartbeat: true})
			now = now.Add(time.Second)
			core.Step(now, membership.TickEvent{})
		}
	})
}
