package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/monsooncrank/monsooncrank/platform/standin"
)

func sortedNames(servers map[string]*standin.Server) []string {
	return slices.Sorted(maps.Keys(servers))
}

// call is one caller: it keeps connections open and asks the daemon that the
// balancer would give it.
func (w *world) call(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(w.o.Seed, uint64(number)+100))
	transport := &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: 4 * time.Second}
	client := &http.Client{Transport: transport}
	asker := &http.Client{Timeout: 500 * time.Millisecond}
	d := w.daemons[number%len(w.daemons)]
	askedAt := time.Time{}
	for n := 0; ctx.Err() == nil; n++ {
		if time.Since(askedAt) > time.Second {
			// The balancer asks once a second and gives two misses.
			askedAt = time.Now()
			for tries := 0; tries < 2*len(w.daemons) && !standin.Ready(asker, d.settings.Ready); tries++ {
				d = w.daemons[random.IntN(len(w.daemons))]
			}
		}
		path := []string{"/once/", "/once/", "/look/", "/stream/resumable/", "/stream/once/"}[random.IntN(5)]
		w.ask(client, d, fmt.Sprintf("%d-%d-%d", w.o.Seed, number, n), path)
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
	}
}

// ask sends one attempt and checks its answer.
func (w *world) ask(client *http.Client, d *daemon, id, path string) {
	starts, stoppingAt := d.state()
	reply := standin.Send(context.Background(), client, standin.Request{ID: id, Address: d.settings.Front, Host: host, Path: path + "x",
		Key: key, Deadline: deadline})
	w.mu.Lock()
	w.asked++
	if reply.Err == nil && reply.Status == http.StatusOK {
		w.served++
	}
	w.mu.Unlock()
	w.checkAnswer(id, path, reply)
	w.checkRefusal(id, reply)
	if w.planned {
		w.checkUncut(d, id, path, starts, stoppingAt, reply)
	}
}

// checkAnswer checks that a success is the whole answer to the request itself.
func (w *world) checkAnswer(id, path string, reply standin.Response) {
	if reply.Err != nil || reply.Status != http.StatusOK {
		return
	}
	if !strings.HasPrefix(path, "/stream/") {
		if reply.Body != standin.ResponseBody(id) {
			w.find("request %s got another body: %.60q", id, reply.Body)
		}
		return
	}
	var whole strings.Builder
	for n := 1; n <= 12; n++ {
		whole.WriteString(standin.StreamEvent(id, n))
	}
	if reply.Body != whole.String() {
		w.find("stream %s ended as complete with %d of %d bytes", id, len(reply.Body), whole.Len())
	}
}

// checkRefusal checks that a request which is said not to have run has not run.
func (w *world) checkRefusal(id string, reply standin.Response) {
	refused := []int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}
	if reply.Err != nil || !slices.Contains(refused, reply.Status) {
		return
	}
	if runs := w.ledger.Runs(id); len(runs) > 0 && strings.Contains(runs[0].Path, "/once/") {
		w.find("request %s was answered %d and ran at %s", id, reply.Status, runs[0].Server)
	}
}

// checkUncut checks that planned stops cut no request that was running: a
// request that crosses the close of an idle connection is not passed on.
func (w *world) checkUncut(d *daemon, id, path string, starts int, stoppingAt time.Time, reply standin.Response) {
	if reply.Err == nil && reply.Status < http.StatusInternalServerError {
		return
	}
	if reply.Err == nil && (reply.Status == http.StatusServiceUnavailable) {
		w.find("request %s (%s) was refused in a run without faults", id, path)
		return
	}
	if len(w.ledger.Runs(id)) == 0 {
		return
	}
	now, _ := d.state()
	w.find("request %s (%s) at %s ran and was cut: status %d, %v; start %d then %d, stopping since %v",
		id, path, d.settings.Node, reply.Status, reply.Err, starts, now, stoppingAt)
}

// judge checks what only the ledgers tell.
func (w *world) judge() {
	for id, runs := range w.ledger.All() {
		once := strings.Contains(runs[0].Path, "/once/")
		if once && len(runs) > 1 {
			w.find("request %s ran %d times", id, len(runs))
		}
		for _, run := range runs {
			if run.Account != "account" {
				w.find("request %s ran for account %q", id, run.Account)
			}
		}
	}
	for _, wrong := range w.cloud.Violations() {
		w.find("duty: %s", wrong)
	}
	client := &http.Client{}
	for _, d := range w.daemons {
		for v := 1; v <= w.version; v++ {
			id := fmt.Sprintf("marker-%s-%d", d.settings.Node, v)
			reply := standin.Send(context.Background(), client, standin.Request{ID: id, Address: d.settings.Front, Host: host,
				Path: markerOf(v) + "x", Key: key, Deadline: deadline})
			if reply.Err == nil && reply.Status == http.StatusNotFound {
				w.find("configuration %d of %d is not in force at %s", v, w.version, d.settings.Node)
				break
			}
		}
	}
}
