package command

import (
	"context"
	"fmt"
	"net/url"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/monsooncrank/monsooncrank/pkg/operatorapi"
)

// releaseResult is the printed result of a release.
type releaseResult struct {
	Fingerprint string `json:"fingerprint"`
	Released    bool   `json:"released"`
}

func registerQuarantine(a *App) {
	c := a.Add("quarantine", "List and release requests that have crashed BackendServers.", "")
	list := c.Sub("list", "List the entries.", "monsooncrank quarantine list")
	list.OnRun(a.listQuarantine)
	release := c.Sub("release", "Release an entry, so that the request may run again.", "monsooncrank quarantine release 5f1d7a0c42e9b836")
	fingerprint := release.Arg("fingerprint", "Fingerprint of the entry.").Required().String()
	release.OnRun(func(ctx context.Context) error { return a.releaseQuarantine(ctx, *fingerprint) })
}

func (a *App) listQuarantine(ctx context.Context) error {
	ctx, cancel := a.TimeoutContext(ctx)
	defer cancel()
	var response operatorapi.QuarantineResponse
	if err := a.firstClient().get(ctx, "/v1/quarantine", &response); err != nil {
		return err
	}
	return a.Print(response, func() {
		rows := make([][]string, 0, len(response.Entries))
		for _, e := range response.Entries {
			rows = append(rows, []string{e.Fingerprint, e.ClientAccount, strconv.Itoa(e.Crashes), e.State, formatTime(e.Since)})
		}
		a.Table([]string{"fingerprint", "account", "crashes", "state", "since"}, rows)
	})
}

func (a *App) releaseQuarantine(ctx context.Context, fingerprint string) error {
	ctx, cancel := a.TimeoutContext(ctx)
	defer cancel()
	if err := a.firstClient().call(ctx, fasthttp.MethodDelete, "/v1/quarantine/"+url.PathEscape(fingerprint), nil, nil); err != nil {
		return err
	}
	result := releaseResult{Fingerprint: fingerprint, Released: true}
	return a.Print(result, func() { fmt.Fprintf(a.Out, "%s released\n", fingerprint) })
}
