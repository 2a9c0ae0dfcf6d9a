package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

const (
	// answerDelay and transactionDelay are the times that the store takes for an answer and
	// for a transaction, as on the sheets of the small deployments.
	answerDelay      = 4 * time.Millisecond
	transactionDelay = 8 * time.Millisecond
	// maxRowsInAnswer is the page size of a read.
	maxRowsInAnswer = 500
)

// row is a row of the store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowKey struct{ table, part, key string }

func (r *row) id() rowKey { return rowKey{r.Table, r.Part, r.Key} }

type rowsAnswer struct {
	Rows    []row  `json:"rows"`
	HasMore bool   `json:"hasMore"`
	Ver     uint64 `json:"ver"`
	NowMs   int64  `json:"nowMs"`
}

// storeCopy is a copy of the store's content at one moment.
type storeCopy struct {
	takenAt time.Time
	rows    map[rowKey]row
	history []row
	version uint64
}

// store plays the platform's metadata store (PROTOCOL.md) with the drill of the letter
// letter-incident.md: it can be away for a moment and come back from an older copy.
type store struct {
	startedAt time.Time
	mu        sync.Mutex
	rows      map[rowKey]row
	history   []row
	version   uint64
	era       int
	away      bool
	changed   chan struct{}
}

func newStore() *store {
	return &store{startedAt: time.Now(), rows: make(map[rowKey]row), changed: make(chan struct{})}
}

// put writes a row of the operator or of a worker. It reports false while the store is away.
func (s *store) put(table, key string, value any) bool {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return false
	}
	s.version++
	s.set(row{Table: table, Key: key, Value: encoded, Ver: s.version})
	s.notify()
	return true
}

func (s *store) set(r row) {
	if r.Deleted {
		delete(s.rows, r.id())
	} else {
		s.rows[r.id()] = r
	}
	s.history = append(s.history, r)
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// snapshot returns a copy of the content.
func (s *store) snapshot() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{takenAt: time.Now(), rows: maps.Clone(s.rows), history: append([]row(nil), s.history...), version: s.version}
}

// leave makes the store answer 503 until comeBack.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.notify()
}

// back ends the absence with all that the store had.
func (s *store) back() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = false
	s.notify()
}

// comeBack ends the absence with the content of a copy: versions go back, and the era rises.
func (s *store) comeBack(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.history, s.version = maps.Clone(c.rows), append([]row(nil), c.history...), c.version
	s.era++
	s.away = false
	s.notify()
}

func (s *store) answer(w http.ResponseWriter, status int, a rowsAnswer) {
	a.NowMs = time.Since(s.startedAt).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The error of a caller that has left is of no interest.
	_ = json.NewEncoder(w).Encode(a)
}

// ServeHTTP handles the calls on rows.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	away, era := s.away, s.era
	s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.Itoa(era))
	time.Sleep(answerDelay)
	if away {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/api/rows-tx":
		s.serveTransaction(w, r)
	case "/api/rows-get":
		s.serveGet(w, r)
	case "/api/rows-feed":
		s.serveFeed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := maxRowsInAnswer
	if n, err := strconv.Atoi(q.Get("limit")); err == nil {
		limit = min(limit, n)
	}
	s.mu.Lock()
	var rows []row
	for id, found := range s.rows {
		if id.table == q.Get("table") && id.part == q.Get("part") && id.key >= q.Get("from") && (q.Get("to") == "" || id.key < q.Get("to")) {
			rows = append(rows, found)
		}
	}
	version := s.version
	s.mu.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more := len(rows) > limit
	s.answer(w, http.StatusOK, rowsAnswer{Rows: rows[:min(limit, len(rows))], HasMore: more, Ver: version})
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.NewTimer(time.Duration(min(wait, 30_000)) * time.Millisecond)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		var rows []row
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Ver > after })
		for _, change := range s.history[first:] {
			if change.Table == q.Get("table") {
				rows = append(rows, change)
			}
		}
		version, changed, away := s.version, s.changed, s.away
		s.mu.Unlock()
		switch {
		case away:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case after > version:
			w.WriteHeader(http.StatusGone)
			return
		case len(rows) > 0:
			s.answer(w, http.StatusOK, rowsAnswer{Rows: rows, Ver: version})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout.C:
			s.answer(w, http.StatusOK, rowsAnswer{Ver: version})
			return
		}
	}
}

type transaction struct {
	ExpectedRevision []row `json:"expectedRevision"`
	Puts             []row `json:"puts"`
	Remove           []row `json:"remove"`
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, p := range append(append([]row(nil), t.Puts...), t.Remove...) {
		if p.Table == "op" || p.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	time.Sleep(transactionDelay)
	s.mu.Lock()
	if s.away {
		s.mu.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	var current []row
	holds := true
	for i := range t.ExpectedRevision {
		c := &t.ExpectedRevision[i]
		found, ok := s.rows[c.id()]
		if ok {
			current = append(current, found)
		}
		holds = holds && found.Ver == c.Ver
	}
	if !holds {
		version := s.version
		s.mu.Unlock()
		s.answer(w, http.StatusPreconditionFailed, rowsAnswer{Rows: current, Ver: version})
		return
	}
	s.version++
	for _, p := range t.Puts {
		s.set(row{Table: p.Table, Part: p.Part, Key: p.Key, Value: p.Value, Ver: s.version})
	}
	for _, p := range t.Remove {
		s.set(row{Table: p.Table, Part: p.Part, Key: p.Key, Ver: s.version, Deleted: true})
	}
	version := s.version
	s.notify()
	s.mu.Unlock()
	s.answer(w, http.StatusOK, rowsAnswer{Ver: version})
}

// listen serves a handler on a free loopback port and returns the address.
func listen(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String(), nil
}
