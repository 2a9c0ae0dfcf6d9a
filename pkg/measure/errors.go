package measure

import (
	"fmt"
	"strings"
)

// UnknownScenarioError reports that at least one of Names is not the name of a
// scenario.
type UnknownScenarioError struct{ Names []string }

func (e *UnknownScenarioError) Error() string {
	known := make([]string, 0)
	for _, s := range Scenarios() {
		known = append(known, s.Name)
	}
	return fmt.Sprintf("unknown scenario in %q; known scenarios are %s", e.Names, strings.Join(known, ", "))
}
