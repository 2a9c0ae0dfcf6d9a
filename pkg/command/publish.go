package command

import (
	"context"
	"fmt"
	"net/url"
	"os/user"
	"strconv"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"github.com/monsooncrank/monsooncrank/pkg/config"
	"github.com/monsooncrank/monsooncrank/pkg/operatorapi"
	"github.com/monsooncrank/monsooncrank/pkg/publish"
)

// publishSettings are the arguments and flags of the publish command.
type publishSettings struct {
	files        []string
	baseRevision uint64
	// baseRevisionSet distinguishes revision 0 from a flag that was not given.
	baseRevisionSet bool
	publisher       string
	publishID       string
}

func registerPublish(a *App) {
	c := a.Add("publish", "Check configuration files and publish them as the next revision.",
		"monsooncrank --address 10.0.0.7:7080 publish examples/kodiclub.jsonc --against 41")
	s := &publishSettings{}
	c.Arg("file", "Configuration files; together they replace the whole set.").Required().StringsVar(&s.files)
	c.Flag("against", "Revision that the files were edited from; the publish fails if it is not the newest. The default is the newest revision.").
		PlaceHolder("REVISION").IsSetByUser(&s.baseRevisionSet).Uint64Var(&s.baseRevision)
	c.Flag("publisher", "Publisher to record in the history. The default is the name of the user.").StringVar(&s.publisher)
	c.Flag("publish-id", "ID of the publish. After a lost response, repeat the publish with the same ID to avoid publishing twice.").StringVar(&s.publishID)
	c.OnRun(func(ctx context.Context) error {
		ctx, cancel := a.TimeoutContext(ctx)
		defer cancel()
		record, err := a.publish(ctx, s)
		if err != nil {
			return err
		}
		return a.Print(record, func() {
			fmt.Fprintf(a.Out, "published revision %d with %d objects, body %s\n", record.Revision, record.Objects, shortHash(record.BodyHash))
		})
	})
}

// publish publishes the files and fills in settings that were not given.
func (a *App) publish(ctx context.Context, s *publishSettings) (publish.Record, error) {
	set, err := config.Load(s.files...)
	if err != nil {
		return publish.Record{}, err
	}
	body, err := config.Canonical(set)
	if err != nil {
		return publish.Record{}, err
	}
	c := a.firstClient()
	if !s.baseRevisionSet {
		if s.baseRevision, err = c.newestRevision(ctx); err != nil {
			return publish.Record{}, err
		}
	}
	if s.publishID == "" {
		s.publishID = uuid.NewString()
	}
	if s.publisher == "" {
		s.publisher = userName()
	}
	return c.publish(ctx, s, body)
}

// newestRevision returns the number of the newest revision, or 0 if there is
// none.
func (c *client) newestRevision(ctx context.Context) (uint64, error) {
	var history operatorapi.HistoryResponse
	if err := c.get(ctx, "/v1/configuration/history?limit=1", &history); err != nil {
		return 0, err
	}
	if len(history.Revisions) == 0 {
		return 0, nil
	}
	return history.Revisions[0].Revision, nil
}

// publish sends the body without retries. If the response is lost, it looks for
// the publish ID in the history.
func (c *client) publish(ctx context.Context, s *publishSettings, body []byte) (publish.Record, error) {
	query := url.Values{"against": {strconv.FormatUint(s.baseRevision, 10)}, "publisher": {s.publisher}, "publish_id": {s.publishID}}
	var response operatorapi.PublishResponse
	err := c.call(ctx, fasthttp.MethodPost, "/v1/configuration?"+query.Encode(), body, &response)
	var unreachable *UnreachableError
	if !errors.As(err, &unreachable) || unreachable.NotSent {
		return response.Record, err
	}
	var history operatorapi.HistoryResponse
	if c.get(ctx, "/v1/configuration/history", &history) == nil {
		for _, r := range history.Revisions {
			if r.PublishID == s.publishID {
				return r, nil
			}
		}
	}
	return publish.Record{}, &LostResponseError{PublishID: s.publishID, Cause: err}
}

// userName returns the name of the current user, the default publisher.
func userName() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}
