package mesh

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// IsPrimaryHubFor reports whether this daemon is the hub that sends large updates
// to the given daemon first. Each daemon has exactly one primary hub.
func (d *Directory) IsPrimaryHubFor(node string) bool {
	hubs := d.rankedHubs()
	return len(hubs) > 0 && hubs[xxhash.Sum64String(node)%uint64(len(hubs))] == d.self
}

// IsFullMesh reports whether each daemon exchanges messages with every other one.
func (d *Directory) IsFullMesh() bool { return d.isFullMesh() }

func (d *Directory) isFullMesh() bool { return len(d.peers)+1 <= d.options.FullMeshLimit }

// rankedHubs returns the responsive daemons that rank as hubs. Daemons are ordered
// by descending weight, then by the hash of their names, so that all daemons
// compute the same order. The result must not be changed.
func (d *Directory) rankedHubs() []string {
	if d.hubsValid {
		return d.hubs
	}
	type candidate struct {
		node   string
		weight float64
		hash   uint64
	}
	candidates := []candidate{{d.self, d.weight, xxhash.Sum64String(d.self)}}
	for node, p := range d.peers {
		if p.failures < unresponsiveFailures && !p.isToldDead() {
			candidates = append(candidates, candidate{node, p.Weight, xxhash.Sum64String(node)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.hash, b.hash))
	})
	count := d.options.HubCount
	if perHub := d.options.DaemonsPerHub; perHub > 0 {
		count = max(count, (len(d.peers)+perHub)/perHub)
	}
	d.hubs = make([]string, 0, count)
	for i := range min(len(candidates), count) {
		d.hubs = append(d.hubs, candidates[i].node)
	}
	d.hubsValid = true
	return d.hubs
}

// HubFor returns the hub that all daemons choose for a key, and false in a full mesh or if
// its address is not known. The name is that of this daemon if it is the hub.
func (d *Directory) HubFor(key string) (node, address string, ok bool) {
	if d.isFullMesh() || !d.speaks(FormatDigests) {
		return "", "", false
	}
	hubs := d.rankedHubs()
	node = hubs[xxhash.Sum64String(key)%uint64(len(hubs))]
	if node == d.self {
		return node, "", true
	}
	address = d.peers[node].Address
	return node, address, address != ""
}

func (d *Directory) isRankedHub(node string) bool { return slices.Contains(d.rankedHubs(), node) }

// IsHub reports whether this daemon acts as a hub, which reads the store and
// forwards updates: either it ranks as a hub, or other daemons use it as one.
func (d *Directory) IsHub(now time.Time) bool {
	if d.RanksAsHub() {
		return true
	}
	return !d.isFullMesh() && now.Sub(d.lastRequestAt) < activeWindow
}

// RanksAsHub reports whether this daemon ranks as a hub among the responsive
// daemons.
func (d *Directory) RanksAsHub() bool { return d.isRankedHub(d.self) }

// IsRankedHub reports whether a daemon ranks as a hub.
func (d *Directory) IsRankedHub(node string) bool { return d.isRankedHub(node) }

// Collects reports whether this daemon receives the records of all daemons, and not
// digests of them. A leaf does so during an upgrade if its hub knows no digests.
func (d *Directory) Collects() bool {
	return d.isFullMesh() || d.RanksAsHub() || !d.speaks(FormatDigests) || d.reliesOnRecords()
}

// collectsRecords reports whether a daemon receives the records of all: as it has stated, or as
// it ranks if it was never heard.
func (d *Directory) collectsRecords(node string) bool {
	if p, ok := d.peers[node]; ok && !p.lastMessageAt.IsZero() {
		return p.collects
	}
	return d.isRankedHub(node)
}

// SendsRecord reports whether a daemon is sent this one's complete record: because it
// collects the records of all, or because this daemon relies on it as a hub.
func (d *Directory) SendsRecord(node string) bool {
	return d.isFullMesh() || d.collectsRecords(node) || d.isRankedHub(node) || !d.speaks(FormatDigests)
}

// SendsMembers reports whether a daemon is sent the list of daemons. One that takes itself
// for a hub without ranking as one knows too few of them.
func (d *Directory) SendsMembers(node string) bool {
	return !d.isFullMesh() && !d.isRankedHub(node) && d.speaks(FormatDigests)
}

// SendsDigest reports whether a daemon is sent a digest. A daemon that does not collect
// records itself sends none to those that it relies on: the digest would come back to
// them later than they know it.
func (d *Directory) SendsDigest(node string) bool {
	return !d.isFullMesh() && d.speaks(FormatDigests) && !d.collectsRecords(node) && (d.RanksAsHub() || !d.isRankedHub(node))
}
