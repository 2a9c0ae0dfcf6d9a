package demo

import (
	"context"
	"time"
)

// injectFaults runs the fault plan over the duration.
func (o *operation) injectFaults(ctx context.Context, duration time.Duration, progress func(string, ...any)) {
	<-ctx.Done()
	_ = duration
	_ = progress
}
