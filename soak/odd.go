package soak

import (
	"context"
	"fmt"
	"strings"
	"time"
)

// oddEntries returns entries that another writer may leave among those of the servers. The address is
// that of a server in service, which the odd entry must not stand for.
func oddEntries(address string) []string {
	entry := func(slots, address, more string) string {
		return fmt.Sprintf(`{"service":"plain","address":%q,"zone":"zone-0","version":"v1","slots":%s,"state":"ready"%s}`, address, slots, more)
	}
	host, _, _ := strings.Cut(address, ":")
	deep := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	return []string{
		deep, strings.Repeat("[", 60_000), entry("8", address, `,"x":`+deep), "", "\x00\xff", "null", `"x"`,
		entry("1e400", address, ""), entry("9223372036854775807", address, ""), entry("9223372036854775808", address, ""), entry("-1", address, ""),
		entry("8", host+":0", ""), entry("8", host+":65536", ""), entry("8", host+":99999", ""), entry("8", host+":-1", ""), entry("8", host, ""),
		entry("8", address, `,"leaves_ms":1e300`), entry("8", address, `,"born":1e300`), entry("8", address, `,"born":9223372036854775807`),
		entry("8", address, `,"version":7`),
	}
}

// writeOddEntries writes an odd entry, and removes the one before, again and again.
func (h *harness) writeOddEntries(ctx context.Context, pause time.Duration) {
	for n := 0; ctx.Err() == nil; n++ {
		_, server := h.pickServer()
		odd := oddEntries(server.AdvertisedAddress)
		h.store.DeleteServer(fmt.Sprint("odd-", (n-1)%len(odd)))
		h.store.PutServer(fmt.Sprint("odd-", n%len(odd)), []byte(odd[n%len(odd)]))
		sleep(ctx, pause)
	}
}

// checkOwnEnds checks that no daemon has ended by itself in a run in which nothing stops daemons.
func (h *harness) checkOwnEnds() {
	if h.options.OddEntryEvery == 0 {
		return
	}
	for _, d := range h.daemons {
		select {
		case <-d.exited:
			h.addFinding("daemon %s has ended by itself", d.settings.Node)
		default:
		}
	}
}
