package streamversion

import (
	"slices"
	"time"
)

// Stream is a stream that a caller takes up.
type Stream struct {
	// ID is that of the caller's attempt that brought the first event, or empty if the caller
	// does not name it.
	ID string
	// Service is the one to which the route in force leads, and Host and Path are those of the
	// request.
	Service, Host, Path string
	// Point is the point of the stream in the weights of its route.
	Point float64
}

// Outcome is what a question has led to.
type Outcome int

const (
	// NotAsked is that of a question that was not asked yet.
	NotAsked Outcome = iota
	// Unanswered is that of one that was answered in part or not at all.
	Unanswered
	// Answered is that of one that was answered in full.
	Answered
)

// Evidence is what others were asked about a stream, besides the records that the core was given.
type Evidence struct {
	// NoStore is set where there is no store.
	NoStore bool
	// Behind is set if another daemon has a later configuration in force, so that a stream may have
	// begun by routes that this one does not know.
	Behind bool
	// Versions is Answered if a complete row of versions was read after the stream was taken up,
	// and VersionsAgain is the same of a second read after all others were asked.
	Versions, VersionsAgain Outcome
	// Listed holds the other daemons of which this one knows, also those that it does not hear.
	Listed []string
	// ListUnknown is set if this daemon knows no others and has not read the list of daemons yet.
	ListUnknown bool
	// CollectorsAsked is set once the daemons that collect the record were asked.
	CollectorsAsked bool
	// PeersAsked is set once the other daemons that are alive were asked, Asked is how many, and
	// Replies holds their replies by daemon.
	PeersAsked bool
	Asked      int
	Replies    map[string]*Reply
	// RecordsAsked is set once the stored records of streams were asked for.
	RecordsAsked bool
}

// Replied adds the reply of a daemon.
func (e *Evidence) Replied(node string, r *Reply) {
	if e.Replies == nil {
		e.Replies = make(map[string]*Reply)
	}
	e.Replies[node] = r
	e.RecordsAsked = e.RecordsAsked || r.HasRead
}

// allReplied reports whether all daemons that are listed have replied.
func (e *Evidence) allReplied() bool {
	return !slices.ContainsFunc(e.Listed, func(node string) bool { return e.Replies[node] == nil })
}

// VersionsRead adds what a read of the row of versions has led to.
func (e *Evidence) VersionsRead(o Outcome) {
	if e.Versions == NotAsked && !e.PeersAsked {
		e.Versions = o
	} else {
		e.VersionsAgain = o
	}
}

// Question is whom to ask next.
type Question int

const (
	// AskNobody is the question once nobody is left to ask.
	AskNobody Question = iota
	// AskVersions asks the store for the row of versions.
	AskVersions
	// AskCollectors asks the daemons that collect the record of the stream.
	AskCollectors
	// AskPeers asks the other daemons for the record of the stream.
	AskPeers
	// AskRecords asks the store for the records of streams.
	AskRecords
)

// Source is where the origin of a stream is known from.
type Source string

// Sources of the origin of a stream.
const (
	SourceRecord       Source = "record"
	SourcePeer         Source = "peer"
	SourceStoredRecord Source = "stored record"
	SourceOnly         Source = "only version"
	SourceStored       Source = "only stored version"
	SourceEarlier      Source = "only version early enough"
	SourceUnknown      Source = "unknown"
)

// Verdict is what is concluded about a stream. While Next is a question, it is not final.
type Verdict struct {
	Origin Origin
	Source Source
	Next   Question
}

// Known reports whether the origin of the stream is proved.
func (v *Verdict) Known() bool { return v.Source != SourceUnknown }

// Decide returns the origin of a stream that a caller takes up, or whom to ask next. Where nobody has
// a record of it, the origin is proved only if no other one can have begun it.
func (c *Core) Decide(now time.Time, s *Stream, e *Evidence) Verdict {
	if origin, ok := c.Recorded(now, s.ID); ok && s.ID != "" {
		return Verdict{Origin: origin, Source: sourceOfRecord(e)}
	}
	possible, known := c.possibleOrigins(now, s)
	known = known && !e.Behind
	confirmed := e.NoStore || e.Versions == Answered || e.VersionsAgain == Answered
	if known && len(possible) == 1 && confirmed {
		source := SourceOnly
		if e.PeersAsked {
			source = SourceStored
		}
		return proved(possible[0], source)
	}
	if next := c.nextQuestion(now, s, e, known && len(possible) == 1); next != AskNobody {
		return Verdict{Source: SourceUnknown, Next: next}
	}
	switch {
	case !known || s.ID == "" || e.ListUnknown:
	case len(possible) == 1 && e.Versions == Unanswered && e.Asked > 0 && e.allReplied():
		// The store does not answer. All other daemons do, and none has begun the stream.
		return proved(possible[0], SourceOnly)
	case confirmed:
		if early := c.withoutLater(possible, e); len(early) == 1 {
			return proved(early[0], SourceEarlier)
		}
	}
	return Verdict{Source: SourceUnknown}
}

// proved returns the verdict that a stream has an origin. One whose version is not known is none.
func proved(origin Origin, source Source) Verdict {
	if origin.Version == "" {
		return Verdict{Source: SourceUnknown}
	}
	return Verdict{Origin: origin, Source: source}
}

// possibleOrigins returns the origins that a stream without a record may have, and false if this daemon
// does not know all of them.
func (c *Core) possibleOrigins(now time.Time, s *Stream) ([]Origin, bool) {
	age := c.StreamAge(now)
	services, known := c.versions.servicesOf(now, s, age)
	var possible []Origin
	for _, service := range services {
		versions, all := c.versions.inUse(now, service, age)
		known = known && all
		for _, version := range versions {
			possible = append(possible, Origin{Service: service, Version: version})
		}
	}
	return possible, known
}

// notBefore returns a moment in this run before which an origin had begun no stream that callers may
// still take up, or zero if none is known.
func (c *Core) notBefore(o Origin) time.Time {
	if use, known := c.versions.services[o.Service][o.Version]; known {
		return use.notBefore
	}
	return c.versions.completeAt()
}

// withoutLater returns those of the possible origins of a stream, of which nobody has a record, that have
// not come into use after it began. One that has begun it later than a moment that this daemon knows has
// begun it at a run of a daemon that was alive since, and that run would have the record: each has
// replied that it has none. That it knows such a moment in its own run rules out earlier ones on its host.
// A daemon that is listed and does not reply may be alive without being heard.
func (c *Core) withoutLater(possible []Origin, e *Evidence) []Origin {
	return slices.DeleteFunc(slices.Clone(possible), func(o Origin) bool {
		since := c.notBefore(o)
		if since.IsZero() {
			return false
		}
		rulesOut := func(node string) bool {
			reply := e.Replies[node]
			return reply != nil && slices.Contains(reply.Later, o)
		}
		for node, at := range c.aliveAt {
			if !at.Before(since) && !rulesOut(node) {
				return false
			}
		}
		return !slices.ContainsFunc(e.Listed, func(node string) bool { return !rulesOut(node) })
	})
}

// sourceOfRecord returns where the record of a stream comes from that was not there at first.
func sourceOfRecord(e *Evidence) Source {
	switch {
	case e.CollectorsAsked && e.PeersAsked:
		return SourcePeer
	case e.RecordsAsked:
		return SourceStoredRecord
	case e.PeersAsked, e.CollectorsAsked:
		return SourcePeer
	}
	return SourceRecord
}

// nextQuestion returns whom to ask next about a stream whose origin is not proved.
func (c *Core) nextQuestion(now time.Time, s *Stream, e *Evidence, only bool) Question {
	switch {
	case only && e.Versions == NotAsked && !e.PeersAsked:
		// This daemon may be behind: a version that it does not know may have begun the stream.
		return AskVersions
	case s.ID != "" && !e.CollectorsAsked && !e.PeersAsked && c.needsRecords(now, s.Service):
		return AskCollectors
	case s.ID != "" && e.CollectorsAsked && !e.RecordsAsked:
		// What collectors were sent is stored.
		return AskRecords
	case s.ID != "" && !e.PeersAsked:
		return AskPeers
	case s.ID != "" && !e.RecordsAsked:
		return AskRecords
	case !e.NoStore && e.VersionsAgain == NotAsked:
		return AskVersions
	}
	return AskNobody
}
