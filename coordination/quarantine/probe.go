package quarantine

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// probeTimeout is a few hundred round trips between AvailabilityZones.
const probeTimeout = 400 * time.Millisecond

// ProbeTCP checks whether an address accepts connections. A timeout says little
// about the server, because the network or a full queue of new connections may
// cause it.
func ProbeTCP(ctx context.Context, address string) ServerState {
	dialer := net.Dialer{Timeout: probeTimeout, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	switch {
	case err == nil:
		// Nothing was sent, so that an error of closing has no effect.
		_ = conn.Close()
		return ServerRuns
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		return ServerDown
	default:
		return ServerSilent
	}
}
