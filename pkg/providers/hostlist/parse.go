package hostlist

import (
	"encoding/json"
	"fmt"
	"net"
	"strconv"

	"github.com/monsooncrank/monsooncrank/coordination/membership"
)

// Labels of a host list entry.
const (
	labelKind             = "kind"
	labelPool             = "pool"
	labelAvailabilityZone = "availability_zone"
	labelMachineClass     = "machine_class"
	labelPurchase         = "purchase"
	labelState            = "state"
	// labelName and labelIncarnation are optional. The name defaults to the
	// address and the incarnation to 0. Without an incarnation, an address that
	// has left is not admitted again until it has been absent from the list for
	// the retention period.
	labelName        = "name"
	labelIncarnation = "incarnation"
)

// Values of the state label.
const (
	stateLive    = "live"
	stateLeaving = "leaving"
)

const (
	// maxValueBytes bounds each label value and each address.
	maxValueBytes = 256
	// maxReportedSkips bounds the number of errors in Result.Skipped.
	maxReportedSkips = 16
)

// targetGroup is one element of the list: addresses that share labels.
type targetGroup struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// Result is a parsed list. An invalid entry is skipped and does not invalidate
// the list, since other entries may announce that a Host is leaving.
type Result struct {
	Entries []membership.ListEntry
	// Skipped holds the errors of the first invalid entries; SkippedCount is
	// the number of all invalid entries.
	Skipped      []error
	SkippedCount int
}

// InvalidListError reports a list that is malformed or has too many entries.
type InvalidListError struct {
	Reason string
	Cause  error
}

func (e *InvalidListError) Error() string {
	return fmt.Sprintf("invalid host list: %s: %v", e.Reason, e.Cause)
}

// Unwrap returns the cause.
func (e *InvalidListError) Unwrap() error { return e.Cause }

// InvalidEntryError reports an entry with an invalid address or label.
type InvalidEntryError struct {
	Target string
	Label  string
	Value  string
}

func (e *InvalidEntryError) Error() string {
	return fmt.Sprintf("host list entry %q: invalid %s %q", e.Target, e.Label, e.Value)
}

// Parse parses a list of at most maxEntries entries.
func Parse(body []byte, maxEntries int) (*Result, error) {
	var groups []targetGroup
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
			r.merge(entry, positions)
		}
	}
	return r, nil
}

// skip records an invalid entry.
func (r *Result) skip(err error) {
	r.SkippedCount++
	if len(r.Skipped) < maxReportedSkips {
		r.Skipped = append(r.Skipped, err)
	}
}

// merge adds an entry. Of two entries with the same name, the one with the
// higher incarnation is kept; if the incarnations are equal, leaving takes
// precedence over live. positions maps a name to its index in r.Entries.
func (r *Result) merge(e *membership.ListEntry, positions map[string]int) {
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

// parseEntry builds and checks the entry of one address. The name label is
// ignored if the group has several addresses.
func parseEntry(target string, g *targetGroup) (*membership.ListEntry, error) {
	for label, value := range g.Labels {
		if len(value) > maxValueBytes {
			return nil, &InvalidEntryError{Target: truncate(target), Label: truncate(label), Value: truncate(value)}
		}
	}
	if host, port, err := net.SplitHostPort(target); err != nil || len(target) > maxValueBytes || host == "" || port == "" {
		return nil, &InvalidEntryError{Target: truncate(target), Label: "target", Value: truncate(target)}
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

// checkLabels checks the labels of g and sets the incarnation of e.
func checkLabels(e *membership.ListEntry, g *targetGroup) error {
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

// truncate limits text that is quoted in an error to maxValueBytes.
func truncate(text string) string { return text[:min(len(text), maxValueBytes)] }
