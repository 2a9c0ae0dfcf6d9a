package command

import (
	"context"
	"fmt"

	"github.com/valyala/fasthttp"

	"github.com/monsooncrank/monsooncrank/pkg/operatorapi"
)

// drainResult is the printed result of a drain.
type drainResult struct {
	Address  string `json:"address"`
	Draining bool   `json:"draining"`
}

func registerDrain(a *App) {
	c := a.Add("drain", "Drain one daemon: it accepts no new requests, finishes those in progress and exits. Needs exactly one address.",
		"monsooncrank --address 10.0.0.7:7080 drain")
	c.OnRun(func(ctx context.Context) error {
		if len(a.addresses) != 1 {
			return &UsageError{Reason: "drain needs exactly one address"}
		}
		ctx, cancel := a.TimeoutContext(ctx)
		defer cancel()
		var response operatorapi.DrainResponse
		if err := a.firstClient().call(ctx, fasthttp.MethodPost, "/v1/drain", nil, &response); err != nil {
			return err
		}
		result := drainResult{Address: a.addresses[0], Draining: response.Draining}
		return a.Print(result, func() { fmt.Fprintf(a.Out, "%s is draining\n", result.Address) })
	})
}
