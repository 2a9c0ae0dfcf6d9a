package command

import (
	"context"
	"fmt"
	"os"

	"github.com/juju/errors"

	"github.com/monsooncrank/monsooncrank/pkg/catalog"
	"github.com/monsooncrank/monsooncrank/pkg/catalogcheck"
)

// CatalogReader reads configurations in the format of the platform on which daemons run.
type CatalogReader interface {
	DecodeCatalog(source []byte) (*catalog.Catalog, error)
	// CheckSource returns the mistakes in a configuration that decoding removes.
	CheckSource(source []byte) []catalogcheck.Finding
	// InForce returns the configuration in force and the servers that accept requests, as the
	// store at an address has them. If the store answers with a configuration that cannot be
	// decoded, the error is a catalogcheck.UndecodableError.
	InForce(ctx context.Context, address string) (*catalog.Catalog, catalogcheck.Fleet, error)
}

// FoundMistakesError reports that a configuration has errors, which were printed.
type FoundMistakesError struct{ Errors int }

func (e *FoundMistakesError) Error() string {
	if e.Errors == 1 {
		return "the configuration has 1 error"
	}
	return fmt.Sprintf("the configuration has %d errors", e.Errors)
}

// StoreError reports that the configuration in force could not be read.
type StoreError struct {
	Address string
	Cause   error
}

func (e *StoreError) Error() string {
	return fmt.Sprintf("read the configuration in force from the store at %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *StoreError) Unwrap() error { return e.Cause }

// RegisterCheckCatalog returns the register function of the command that checks a configuration
// before it is sent to the platform.
func RegisterCheckCatalog(reader CatalogReader) Register {
	return func(a *App) {
		c := a.Add("check-catalog", "Check a configuration before it is sent to the platform: errors, entries without effect, limits that contradict each other, and what differs from the version in force. Exits 0, 1 if there are errors, 2 for an invalid command line, or 5 if the store does not answer.",
			"monsooncrank check-catalog next.json\nmonsooncrank check-catalog next.json --in-force now.json\nmonsooncrank check-catalog next.json --store 10.200.1.7:8781")
		file := c.Arg("file", "Configuration to check.").Required().String()
		inForce := c.Flag("in-force", "Configuration to compare it with.").String()
		store := c.Flag("store", "Address (host:port) of the platform's store, from which the configuration in force and the servers are read.").String()
		c.OnRun(func(ctx context.Context) error {
			return a.checkCatalog(ctx, reader, *file, *inForce, *store)
		})
	}
}

func (a *App) checkCatalog(ctx context.Context, reader CatalogReader, file, inForce, store string) error {
	if inForce != "" && store != "" {
		return &UsageError{Reason: "check-catalog compares either with --in-force or with --store"}
	}
	next, err := decodeFile(reader, file)
	if err != nil {
		return err
	}
	var now *catalog.Catalog
	var fleet catalogcheck.Fleet
	if store != "" {
		ctx, cancel := a.TimeoutContext(ctx)
		defer cancel()
		now, fleet, err = reader.InForce(ctx, store)
		var undecodable *catalogcheck.UndecodableError
		if errors.As(err, &undecodable) {
			return errors.Annotatef(err, "store at %s", store)
		}
		if err != nil {
			return &StoreError{Address: store, Cause: err}
		}
	}
	if inForce != "" {
		if now, err = decodeFile(reader, inForce); err != nil {
			return err
		}
	}
	found := catalogcheck.Sorted(append(reader.CheckSource(next.Source), catalogcheck.Check(next, fleet)...))
	if now != nil {
		found = append(found, catalogcheck.Compare(now, next)...)
	}
	return a.printFindings(found)
}

// printFindings prints what was found and returns an error if there are mistakes.
func (a *App) printFindings(found []catalogcheck.Finding) error {
	if found == nil {
		found = []catalogcheck.Finding{}
	}
	mistakes := 0
	for _, f := range found {
		if f.Severity == catalogcheck.SeverityError {
			mistakes++
		}
	}
	err := a.Print(found, func() {
		for _, f := range found {
			fmt.Fprintln(a.Out, f)
		}
		if len(found) == 0 {
			fmt.Fprintln(a.Out, "nothing found")
		}
	})
	if err == nil && mistakes > 0 {
		return &FoundMistakesError{Errors: mistakes}
	}
	return err
}

func decodeFile(reader CatalogReader, name string) (*catalog.Catalog, error) {
	source, err := os.ReadFile(name)
	if err != nil {
		return nil, errors.Trace(err)
	}
	c, err := reader.DecodeCatalog(source)
	return c, errors.Annotate(err, name)
}
