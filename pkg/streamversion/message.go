package streamversion

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

// maxPossible limits the possible origins in a message.
const maxPossible = 16

// Message carries records to a holder, or asks a daemon for the origins of streams.
type Message struct {
	Batch Batch `cbor:"1,keyasint"`
	// Lookup holds the keys of the streams whose origins are asked for.
	Lookup []uint64 `cbor:"2,keyasint,omitempty"`
	// Possible holds the origins that are possible for the stream asked for.
	Possible []Origin `cbor:"3,keyasint,omitempty"`
	// Collect asks a daemon to store the records, and is the time in milliseconds for which it may wait
	// for the store before it replies. Daemons before FormatCollectors hold them only.
	Collect int64 `cbor:"4,keyasint,omitempty"`
	// Partition is the number of the partition of the store for these records.
	Partition int `cbor:"6,keyasint,omitempty"`
	// ReadsStore lets a daemon read the stored records of streams if it has no record of one that is
	// asked for.
	ReadsStore bool `cbor:"5,keyasint,omitempty"`
}

// Reply is the response to a Message.
type Reply struct {
	// Run identifies the run of the daemon that has stored the batch.
	Run uint64 `cbor:"1,keyasint"`
	// Origins holds those of the streams that the daemon knows, by key.
	Origins map[uint64]Origin `cbor:"2,keyasint,omitempty"`
	// Later holds those of the possible origins of which the daemon knows a moment in its run before
	// which they had begun no stream.
	Later []Origin `cbor:"3,keyasint,omitempty"`
	// Outcome is what has become of the records to be stored.
	Outcome CollectOutcome `cbor:"4,keyasint,omitempty"`
	// HasRead is set if the daemon has read the stored records lately.
	HasRead bool `cbor:"5,keyasint,omitempty"`
}

// Lookup returns the message that asks for the origin of a stream.
func (c *Core) Lookup(now time.Time, s *Stream) Message {
	m := Message{Lookup: []uint64{keyOf(s.ID)}}
	if possible, known := c.possibleOrigins(now, s); known && len(possible) <= maxPossible {
		m.Possible = possible
	}
	return m
}

// OriginOf returns the origin of a stream from a reply.
func (r *Reply) OriginOf(stream string) (Origin, bool) {
	origin, ok := r.Origins[keyOf(stream)]
	return origin, ok
}

// Handle stores the records of a message and answers its questions.
func (c *Core) Handle(now time.Time, m *Message) Reply {
	c.store(now, &m.Batch)
	return c.Answer(now, m)
}

// Answer answers the questions of a message.
func (c *Core) Answer(now time.Time, m *Message) Reply {
	reply := Reply{Run: c.run}
	for _, key := range m.Lookup {
		if origin, ok := c.recorded(now, key); ok {
			if reply.Origins == nil {
				reply.Origins = make(map[uint64]Origin)
			}
			reply.Origins[key] = origin
		}
	}
	for _, origin := range m.Possible[:min(len(m.Possible), maxPossible)] {
		if !c.notBefore(origin).IsZero() {
			reply.Later = append(reply.Later, origin)
		}
	}
	return reply
}

// Encode returns the CBOR encoding of a message or a reply.
func Encode[T Message | Reply](m *T) ([]byte, error) {
	encoded, err := cbor.Marshal(m)
	return encoded, errors.Annotate(err, "encode records of streams")
}

// Decode decodes a message or a reply encoded by Encode.
func Decode[T Message | Reply](encoded []byte) (*T, error) {
	var m T
	if err := cbor.Unmarshal(encoded, &m); err != nil {
		return nil, errors.Annotate(err, "decode records of streams")
	}
	return &m, nil
}
