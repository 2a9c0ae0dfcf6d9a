package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/monsooncrank/monsooncrank/platform/standin"
)

// orderFaults is a set of ways in which a stream is out of order.
type orderFaults uint

const (
	// faultJoined is a stream with events of two software versions.
	faultJoined orderFaults = 1 << iota
	// faultMissing is a stream that misses an event.
	faultMissing
	// faultRepeated is a stream that holds an event twice or after a later one.
	faultRepeated
	// faultEarlyEnd is an answer that ends as complete before the last event.
	faultEarlyEnd
	// faultForeign is an answer with bytes that are no part of the stream.
	faultForeign
)

var orderFaultNames = []string{"holds events of two software versions", "misses an event", "holds an event twice", "ended as complete before its last event", "holds foreign bytes"}

func (f orderFaults) String() string {
	var names []string
	for i, name := range orderFaultNames {
		if f&(1<<i) != 0 {
			names = append(names, name)
		}
	}
	return strings.Join(names, ", ")
}

// checkEvents returns the events of an answer to a stream that goes on after the given event, and
// what is out of order in it.
func checkEvents(id string, after int, body string, complete bool) ([]standin.Event, orderFaults) {
	events, rest := standin.ParseEvents(body)
	var faults orderFaults
	last := after
	for _, e := range events {
		if e.Request != id || e.Number > streamEvents {
			faults |= faultForeign
		}
		if e.Version != events[0].Version {
			faults |= faultJoined
		}
		switch {
		case e.Number > last+1:
			faults |= faultMissing
		case e.Number <= last:
			faults |= faultRepeated
		}
		last = max(last, e.Number)
	}
	if complete && rest != "" || !standin.BeginsEvent(rest, id, last+1) {
		faults |= faultForeign
	}
	if complete && last < streamEvents {
		faults |= faultEarlyEnd
	}
	return events, faults
}

// streamTry is one try of a caller to begin a stream or to take it up.
type streamTry struct {
	id     string
	daemon *daemon
	at     time.Time
	// after is the last event that the caller had, and resumes is set if it had one.
	after   int
	resumes bool
	reply   standin.Response
	events  []standin.Event
	faults  orderFaults
	// servers is the number of servers of the stream's version that served at the begin
	// and at the end of the try, whichever is less.
	servers int
}

// progressed reports whether the try brought an event.
func (t *streamTry) progressed() bool { return len(t.events) > 0 }

// complete reports whether the answer of the try ended as the end of the stream.
func (t *streamTry) complete() bool { return t.reply.Err == nil && t.reply.Status == http.StatusOK }

// received records the answer to a try.
func (t *streamTry) received(reply standin.Response) {
	t.reply = reply
	if reply.Status == http.StatusOK {
		t.events, t.faults = checkEvents(t.id, t.after, reply.Body, reply.Err == nil)
	}
}

// describe says what the caller saw of a try, and which runs of servers have run it.
func (t *streamTry) describe(runs []standin.Run) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s at %s after event %d: ", t.at.Format("15:04:05.000"), t.id, t.daemon.settings.Node, t.after)
	if t.reply.Status == 0 {
		fmt.Fprintf(&b, "no answer (%v)", t.reply.Err)
	} else {
		fmt.Fprintf(&b, "status %d", t.reply.Status)
	}
	for i := 0; i < len(t.events); {
		first, end := i, i+1
		for end < len(t.events) && t.events[end].Version == t.events[first].Version && t.events[end].Number == t.events[end-1].Number+1 {
			end++
		}
		fmt.Fprintf(&b, ", events %d to %d of %s", t.events[first].Number, t.events[end-1].Number, t.events[first].Version)
		i = end
	}
	if t.reply.Status == http.StatusOK {
		if t.reply.Err == nil {
			fmt.Fprintf(&b, ", complete (framed: %t)", t.reply.Framed)
		} else {
			fmt.Fprintf(&b, ", broke off: %v", t.reply.Err)
		}
	}
	if t.faults&faultForeign != 0 {
		fmt.Fprintf(&b, ", body %.600q", t.reply.Body)
	}
	for _, run := range runs {
		fmt.Fprintf(&b, "; %s run %s of %s after event %d", run.At.Format("15:04:05.000"), run.Server, run.Version, run.After)
	}
	return b.String()
}

// StreamCounts counts the streams of a run that may be taken up.
type StreamCounts struct {
	// Begun streams had an event, and Whole ones were complete in the end.
	Begun, Whole int
	// BrokenOff is the number of tries that brought events and did not end whole, TakenUp that of
	// tries which took a stream up, and WentOn that of those which brought more of it.
	BrokenOff, TakenUp, WentOn int
	// Moved is the number of tries in whose answer the stream went on at another run of a server.
	Moved int
	// The others count streams by what was out of order.
	Joined, Missing, Repeated, EarlyEnd, Foreign int
}

func (c *StreamCounts) String() string {
	return fmt.Sprintf("%d streams begun, %d whole; %d tries broken off, %d took one up, %d of these went on, %d went on within one answer; joined %d, missing %d, twice %d, early end %d, foreign %d",
		c.Begun, c.Whole, c.BrokenOff, c.TakenUp, c.WentOn, c.Moved, c.Joined, c.Missing, c.Repeated, c.EarlyEnd, c.Foreign)
}

// add counts a stream. moved is the number of its tries in whose answers it moved.
func (c *StreamCounts) add(tries []streamTry, faults orderFaults, moved int) {
	begun, whole := 0, 0
	for i := range tries {
		t := &tries[i]
		if t.progressed() {
			begun = 1
			if !t.complete() {
				c.BrokenOff++
			}
		}
		if t.complete() {
			whole = 1
		}
		if t.resumes {
			c.TakenUp++
			if t.progressed() || t.complete() {
				c.WentOn++
			}
		}
	}
	c.Begun += begun
	c.Whole += whole
	c.Moved += moved
	for i, n := range []*int{&c.Joined, &c.Missing, &c.Repeated, &c.EarlyEnd, &c.Foreign} {
		if faults&(1<<i) != 0 {
			*n++
		}
	}
}

// moved reports whether a stream went on at another run of a server within the answer to a try.
func moved(t *streamTry, runs []standin.Run) bool {
	for _, run := range runs {
		if run.After > t.after && t.progressed() && t.events[len(t.events)-1].Number > run.After {
			return true
		}
	}
	return false
}

// endStream checks and counts all tries of a stream once its caller ends.
func (h *harness) endStream(id string, tries []streamTry) {
	faults, moves := h.checkTries(id, tries)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.streams.add(tries, faults, moves)
	h.streamTries = append(h.streamTries, tries...)
}

// checkStream checks the answer to a stream that is not taken up.
func (h *harness) checkStream(d *daemon, id string, at time.Time, reply standin.Response) {
	t := streamTry{id: id, daemon: d, at: at}
	t.received(reply)
	h.checkTries(id, []streamTry{t})
}

// checkTries records what is out of order in a stream. It returns that and the number of tries in
// whose answers the stream went on at another run of a server.
func (h *harness) checkTries(id string, tries []streamTry) (faults orderFaults, moves int) {
	version := ""
	described := make([]string, 0, len(tries))
	for i := range tries {
		t := &tries[i]
		faults |= t.faults
		for _, e := range t.events {
			if version != "" && e.Version != version {
				faults |= faultJoined
			}
			version = e.Version
		}
		runs := h.ledger.Runs(t.id)
		if moved(t, runs) {
			moves++
		}
		described = append(described, t.describe(runs))
	}
	if faults == 0 {
		return 0, moves
	}
	record := fmt.Sprintf("stream %s %v: %s", id, faults, strings.Join(described, " | "))
	if faults != faultJoined {
		h.addFinding("%s", record)
	}
	if faults&faultJoined != 0 {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.joinedStreams = append(h.joinedStreams, record)
	}
	return faults, moves
}
