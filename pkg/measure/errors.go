package measure

import (
	"fmt"
	"strings"
)

// UnknownScenarioError reports a scenario name that does not exist.
type UnknownScenarioError struct{ Names []string }

func (e *UnknownScenarioError) Error() string {
	known := make([]string, 0)
	for _, s := range Scenarios() {
		known = append(known, s.Name)
	}
	return fmt.Sprintf("unknown scenario among %q; there are %s", e.Names, strings.Join(known, ", "))
}
