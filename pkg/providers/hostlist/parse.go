package hostlist

import (
	"encoding/json"
	"fmt"
	"net"
	"strconv"

	"github.com/monsooncrank/monsooncrank/coordination/membership"
)

// The labels of an entry.
const (
	labelKind             = "kind"
	labelPool             = "pool"
	labelAvailabilityZone = "availability_zone"
	labelMachineClass     = "machine_class"
	labelPurchase         = "purchase"
	labelState            = "state"
	// labelName and labelIncarnation are optional. Without a name the address
	// is the name; without an incarnation it is 0, and an address that has left
	// stays out until it was not listed for the retention.
	labelName        = "name"
	labelIncarnation = "incarnation"
)

// The values of the state label.
const (
	stateLive    = "live"
	stateLeaving = "leaving"
)

const (
	// maxValueBytes bounds each label's value and each address.
	maxValueBytes = 256
	// maxReportedSkips bounds the skipped entries that are reported.
	maxReportedSkips = 16
)

// group is one element of the list.
type group struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// Result is a parsed list. An entry that is not understood is skipped and does
// not hide the others, which may be leaving.
type Result struct {
	Entries []membership.ListEntry
	// Skipped are the first entries that were not understood; SkippedCount is
	// how many there were.
	Skipped      []error
	SkippedCount int
}

// InvalidListError reports a list that is not of the expected form.
type InvalidListError struct {
	Reason string
	Cause  error
}

func (e *InvalidListError) Error() string {
	return fmt.Sprintf("invalid host list: %s: %v", e.Reason, e.Cause)
}

// Unwrap returns the cause.
func (e *InvalidListError) Unwrap() error { return e.Cause }

// InvalidEntryError reports an entry that is not understood.
type InvalidEntryError struct {
	Target string
	Label  string
	Value  string
}

func (e *InvalidEntryError) Error() string {
	return fmt.Sprintf("host list entry %q: invalid %s %q", e.Target, e.Label, e.Value)
}

// Parse reads a list of at most maxEntries entries.
func Parse(body []byte, maxEntries int) (*Result, error) {
	var groups []group
	if err := json.Unmarshal(body, &groups); err != nil {
		return nil, &InvalidListError{Reason: "not a JSON array of targets and labels", Cause: err}
	}
	total := 0
	for i := range groups {
		total += len(groups[i].Targets)
	}
	if total > maxEntries {
		return nil, &InvalidListError{Reason: fmt.Sprintf("%d entries, at most %d", total, maxEntries)}
	}
	r := &Result{Entries: make([]membership.ListEntry, 0, total)}
	positions := make(map[string]int, total)
	for i := range groups {
		for _, target := range groups[i].Targets {
			entry, err := parseEntry(target, &groups[i])
			if err != nil {
				r.skip(err)
				continue
			}
			r.add(entry, positions)
		}
	}
	return r, nil
}

func (r *Result) skip(err error) {
	r.SkippedCount++
	if len(r.Skipped) < maxReportedSkips {
		r.Skipped = append(r.Skipped, err)
	}
}

// add adds an entry. Of two with the same name the newer start counts, and
// leaving before live.
func (r *Result) add(e *membership.ListEntry, positions map[string]int) {
	i, ok := positions[e.Name]
	if !ok {
		positions[e.Name] = len(r.Entries)
		r.Entries = append(r.Entries, *e)
		return
	}
	old := &r.Entries[i]
	if e.Incarnation > old.Incarnation || e.Incarnation == old.Incarnation && e.Leaving {
		*old = *e
	}
}

func parseEntry(target string, g *group) (*membership.ListEntry, error) {
	for label, value := range g.Labels {
		if len(value) > maxValueBytes {
			return nil, &InvalidEntryError{Target: shorten(target), Label: shorten(label), Value: shorten(value)}
		}
	}
	if host, port, err := net.SplitHostPort(target); err != nil || len(target) > maxValueBytes || host == "" || port == "" {
		return nil, &InvalidEntryError{Target: shorten(target), Label: "target", Value: shorten(target)}
	}
	e := &membership.ListEntry{Member: membership.Member{
		Name: target, Kind: membership.Kind(g.Labels[labelKind]), Address: target, Pool: g.Labels[labelPool],
		AvailabilityZone: g.Labels[labelAvailabilityZone], MachineClass: g.Labels[labelMachineClass],
		Purchase: membership.Purchase(g.Labels[labelPurchase]),
	}, Leaving: g.Labels[labelState] == stateLeaving}
	if name := g.Labels[labelName]; name != "" && len(g.Targets) == 1 {
		e.Name = name
	}
	if err := checkLabels(e, g); err != nil {
		return nil, err
	}
	return e, nil
}

func checkLabels(e *membership.ListEntry, g *group) error {
	invalid := func(label string) error {
		return &InvalidEntryError{Target: e.Address, Label: label, Value: g.Labels[label]}
	}
	switch e.Kind {
	case membership.KindEngine, membership.KindService, membership.KindDaemon:
	default:
		return invalid(labelKind)
	}
	if e.Kind != membership.KindDaemon && e.Pool == "" {
		return invalid(labelPool)
	}
	switch e.Purchase {
	case "", membership.PurchaseReclaimable, membership.PurchaseOnDemand:
	default:
		return invalid(labelPurchase)
	}
	if state := g.Labels[labelState]; state != stateLive && state != stateLeaving {
		return invalid(labelState)
	}
	text, ok := g.Labels[labelIncarnation]
	if !ok {
		return nil
	}
	incarnation, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return invalid(labelIncarnation)
	}
	e.Incarnation = incarnation
	return nil
}

func shorten(text string) string { return text[:min(len(text), maxValueBytes)] }
