package quarantine

import "time"

// Attempt is one run of a request on a BackendServer.
type Attempt struct {
	// ID identifies the attempt at this daemon, and Request its request.
	ID, Request string
	Fingerprint Fingerprint
	// Server names the server and its incarnation.
	Server  string
	Address string
	// Parts holds the parts of the request's prompt that other requests may share.
	Parts []Fingerprint

	// starts holds what was known of the parts when the attempt was sent.
	starts []partStart
	// progressed is set once the server has produced more of the answer than one that
	// crashes at its beginning.
	progressed bool
}

// Suspect is a request that was running when a server crashed, or whose attempt
// there had ended without an answer shortly before.
type Suspect struct {
	Attempt
	// Position is the number of parts of the answer produced so far.
	Position int
}

const (
	// doubtRetention is how long an attempt that ended without an answer is kept.
	// It covers the time until a silent server's entry expires, the server has
	// started again, and this daemon has learned of both.
	doubtRetention = 15 * time.Second
	// serverRetention is how long a server is remembered after its end, for
	// attempts that end later.
	serverRetention = time.Minute
	// maxDoubtfulAttempts limits the number of attempts that are kept after their end.
	maxDoubtfulAttempts = 4096
)

// serverState is what is known of a server that has ended or is about to.
type serverState struct {
	// crashed is set if the server has crashed; otherwise it was shut down.
	crashed bool
	// assumed is set if the shutdown was not announced and only assumed because the
	// server still accepts connections. A silent server does so too, until it returns.
	assumed bool
	at      time.Time
}

// doubt is an attempt that ended without an answer.
type doubt struct {
	Suspect
	endedAt time.Time
}

// Attempts attributes crashes of servers to the requests that were running there.
// A server's crash may be discovered by another attempt, by its return as a new
// incarnation, or after callers have given up. Attempts that ended without an
// answer are therefore kept for a while. It does no I/O and is not safe for
// concurrent use.
type Attempts struct {
	running map[string]Attempt
	// doubts holds the attempts that ended without an answer, oldest first.
	doubts []doubt
	ended  map[string]serverState
}

// NewAttempts returns an empty Attempts.
func NewAttempts() *Attempts {
	return &Attempts{running: make(map[string]Attempt), ended: make(map[string]serverState)}
}

// Start records the start of an attempt.
func (a *Attempts) Start(attempt Attempt) { a.running[attempt.ID] = attempt }

// Progressed records that the server of an attempt has produced several parts of its
// answer.
func (a *Attempts) Progressed(id string) {
	if attempt, ok := a.running[id]; ok {
		attempt.progressed = true
		a.running[id] = attempt
	}
}

// Resolve removes an attempt that was answered or did not run, and returns it. A server
// that answers has not crashed.
func (a *Attempts) Resolve(id string, answered bool) (Attempt, bool) {
	attempt, ok := a.running[id]
	if !ok {
		return Attempt{}, false
	}
	delete(a.running, id)
	if answered && a.ended[attempt.Server].crashed {
		delete(a.ended, attempt.Server)
	}
	return attempt, true
}

// Joined records that a server has an entry again after its end was assumed.
func (a *Attempts) Joined(server string) {
	if state, ended := a.ended[server]; ended && !state.crashed {
		delete(a.ended, server)
	}
}

// EndWithoutAnswer records that an attempt ended without an answer: its connection
// broke, the server was silent, or the caller has gone. It returns the suspect, and
// whether the server is known to have crashed or to have been shut down.
func (a *Attempts) EndWithoutAnswer(now time.Time, id string, position int) (suspect Suspect, crashed, shutDown bool) {
	attempt, ok := a.running[id]
	if !ok {
		return Suspect{}, false, false
	}
	delete(a.running, id)
	suspect = Suspect{Attempt: attempt, Position: position}
	state, ended := a.ended[attempt.Server]
	if ended && !state.assumed {
		return suspect, state.crashed, !state.crashed
	}
	a.expire(now)
	if len(a.doubts) >= maxDoubtfulAttempts {
		a.doubts = a.doubts[1:]
	}
	a.doubts = append(a.doubts, doubt{Suspect: suspect, endedAt: now})
	return suspect, false, ended
}

// Crashed records that a server has crashed, and returns the requests that were
// running there. It returns none if the server's end is already known.
func (a *Attempts) Crashed(now time.Time, server string) []Suspect {
	a.expire(now)
	if state, known := a.ended[server]; known && !state.assumed {
		return nil
	}
	a.ended[server] = serverState{crashed: true, at: now}
	var suspects []Suspect
	for _, attempt := range a.running {
		if attempt.Server == server {
			suspects = append(suspects, Suspect{Attempt: attempt})
		}
	}
	kept := a.doubts[:0]
	for _, d := range a.doubts {
		if d.Server == server {
			suspects = append(suspects, d.Suspect)
			continue
		}
		kept = append(kept, d)
	}
	a.doubts = kept
	return suspects
}

// ShutDown records that a server is being shut down as planned. Attempts that
// break off there are not suspected.
func (a *Attempts) ShutDown(now time.Time, server string) { a.shutDown(now, server, false) }

// AssumeShutDown records that a server seems to be shut down without notice. Attempts
// that break off there are suspected if it turns out to have crashed.
func (a *Attempts) AssumeShutDown(now time.Time, server string) { a.shutDown(now, server, true) }

func (a *Attempts) shutDown(now time.Time, server string, assumed bool) {
	a.expire(now)
	if state, known := a.ended[server]; !known || state.assumed && !assumed {
		a.ended[server] = serverState{assumed: assumed, at: now}
	}
}

// InDoubt reports whether an attempt is running on a server or ended there
// without an answer.
func (a *Attempts) InDoubt(server string) bool {
	for _, attempt := range a.running {
		if attempt.Server == server {
			return true
		}
	}
	for _, d := range a.doubts {
		if d.Server == server {
			return true
		}
	}
	return false
}

// ServersAt returns the servers at an address on which attempts are running or in
// doubt.
func (a *Attempts) ServersAt(address string) []string {
	servers := make(map[string]bool)
	for _, attempt := range a.running {
		if attempt.Address == address {
			servers[attempt.Server] = true
		}
	}
	for _, d := range a.doubts {
		if d.Address == address {
			servers[d.Server] = true
		}
	}
	names := make([]string, 0, len(servers))
	for name := range servers {
		names = append(names, name)
	}
	return names
}

// expire removes the attempts and servers whose retention has passed.
func (a *Attempts) expire(now time.Time) {
	for len(a.doubts) > 0 && now.Sub(a.doubts[0].endedAt) > doubtRetention {
		a.doubts = a.doubts[1:]
	}
	for name, state := range a.ended {
		if now.Sub(state.at) > serverRetention {
			delete(a.ended, name)
		}
	}
}
