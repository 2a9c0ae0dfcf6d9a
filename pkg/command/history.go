package command

import (
	"context"
	"strconv"

	"github.com/monsooncrank/monsooncrank/pkg/operatorapi"
)

func registerHistory(a *App) {
	c := a.Add("history", "List published revisions, newest first.", "monsooncrank history --limit 5 --output json")
	limit := c.Flag("limit", "Number of revisions.").Default("20").Uint()
	c.OnRun(func(ctx context.Context) error {
		ctx, cancel := a.TimeoutContext(ctx)
		defer cancel()
		var response operatorapi.HistoryResponse
		if err := a.firstClient().get(ctx, "/v1/configuration/history?limit="+strconv.FormatUint(uint64(*limit), 10), &response); err != nil {
			return err
		}
		return a.Print(response, func() {
			a.Table([]string{"revision", "published at", "publisher", "objects", "body", "publish id"}, historyRows(response))
		})
	})
}

func historyRows(response operatorapi.HistoryResponse) [][]string {
	rows := make([][]string, 0, len(response.Revisions))
	for _, r := range response.Revisions {
		rows = append(rows, []string{strconv.FormatUint(r.Revision, 10), formatTime(r.PublishedAt), r.Publisher,
			strconv.Itoa(r.Objects), shortHash(r.BodyHash), r.PublishID})
	}
	return rows
}
