package soak

import (
	"testing"

	"github.com/monsooncrank/monsooncrank/platform/standin"
)

// TestStreamsOutOfOrderAreToldApart guards against a check of streams that misses a kind of
// disorder, or takes one for another.
func TestStreamsOutOfOrderAreToldApart(t *testing.T) {
	events := func(version string, numbers ...int) string {
		body := ""
		for _, n := range numbers {
			body += standin.StreamEvent("s", n, version)
		}
		return body
	}
	whole := events("v1", 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12)
	for name, c := range map[string]struct {
		after    int
		body     string
		complete bool
		faults   orderFaults
	}{
		"whole":                       {0, whole, true, 0},
		"rest of a stream":            {10, events("v1", 11, 12), true, 0},
		"end without a further event": {12, "", true, 0},
		"broken off":                  {0, events("v1", 1, 2), false, 0},
		"broken off within an event":  {0, events("v1", 1, 2) + events("v1", 3)[:20], false, 0},
		"broken off within its end":   {0, events("v1", 1, 2) + events("v1", 3)[:len(events("v1", 3))-1], false, 0},
		"two versions":                {0, events("v1", 1, 2) + events("v2", 3), false, faultJoined},
		"gap":                         {0, events("v1", 1, 3), false, faultMissing},
		"gap at the begin":            {4, events("v1", 6), false, faultMissing},
		"twice":                       {0, events("v1", 1, 2, 2, 3), false, faultRepeated},
		"again from the begin":        {2, events("v1", 1, 2, 3), false, faultRepeated},
		"early end":                   {0, events("v1", 1, 2), true, faultEarlyEnd},
		"empty":                       {0, "", true, faultEarlyEnd},
		"part of an event at the end": {0, whole + "id: ", true, faultForeign},
		"too many":                    {0, whole + events("v1", 13), true, faultForeign},
		"other stream":                {0, standin.StreamEvent("t", 1, "v1"), false, faultForeign},
		"error text":                  {0, events("v1", 1, 2) + "upstream failed", false, faultForeign},
		"head of another answer":      {0, events("v1", 1) + "HTTP/1.1 503 Service Unavailable\r\n\r\n", false, faultForeign},
		"begin of another event":      {0, events("v1", 1) + "id: 3\nda", false, faultForeign},
		"other numbers":               {0, "id: 1\ndata: event 2 of s at v1\n\n", false, faultForeign},
	} {
		if _, faults := checkEvents("s", c.after, c.body, c.complete); faults != c.faults {
			t.Errorf("%s: got %q, want %q", name, faults, c.faults)
		}
	}
}
