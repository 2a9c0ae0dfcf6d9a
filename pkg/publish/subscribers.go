package publish

import (
	"context"
	"sync"

	"github.com/monsooncrank/monsooncrank/pkg/config"
)

// subscribers calls the subscribed functions with the newest configuration. It
// uses its own goroutine, so that they do not block the event loop.
type subscribers struct {
	mu     sync.Mutex
	wake   chan struct{}
	latest *config.Snapshot
	list   []*subscriber
}

type subscriber struct {
	onChange  func(*config.Snapshot)
	delivered *config.Snapshot
}

func (s *subscribers) add(onChange func(*config.Snapshot)) {
	s.mu.Lock()
	s.list = append(s.list, &subscriber{onChange: onChange})
	s.mu.Unlock()
	s.signal()
}

func (s *subscribers) setLatest(snapshot *config.Snapshot) {
	s.mu.Lock()
	s.latest = snapshot
	s.mu.Unlock()
	s.signal()
}

func (s *subscribers) wakeChannel() chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wake == nil {
		s.wake = make(chan struct{}, 1)
	}
	return s.wake
}

func (s *subscribers) signal() {
	select {
	case s.wakeChannel() <- struct{}{}:
	default:
	}
}

func (s *subscribers) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wakeChannel():
			s.notify()
		}
	}
}

func (s *subscribers) notify() {
	s.mu.Lock()
	latest := s.latest
	var pending []*subscriber
	for _, sub := range s.list {
		if latest != nil && sub.delivered != latest {
			sub.delivered = latest
			pending = append(pending, sub)
		}
	}
	s.mu.Unlock()
	for _, sub := range pending {
		sub.onChange(latest)
	}
}
