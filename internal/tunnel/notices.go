package tunnel

import (
	"context"
	"slices"
	"time"

	"masticturn/internal/peer"
	"masticturn/internal/telemetry"
)

// ShareNotice tells the VMs with which this one shares tunnels what a target has announced to it. The target
// holds the carrying VM to it, whichever VM a request comes from.
func (s *Service) ShareNotice(target string, leaving bool, backoff time.Duration) {
	n := newNotice(target, leaving, backoff)
	for _, vm := range append(s.carriersInUse.vms(), s.originsInUse.vms()...) {
		s.send(vm, &n)
	}
}

// ShareLimit tells a VM that carries a connection which rate limit the target has named on it, in requests/s. The
// target holds the carrying VM to it.
func (s *Service) ShareLimit(carrier, target string, perSecond float64) {
	s.send(carrier, &Notice{Target: target, Limited: true, LimitPerSecond: perSecond})
}

func (s *Service) send(vm string, n *Notice) {
	if err := s.deps.Network.Send(vm, peer.KindTargetNotice, n); err != nil {
		s.deps.Logger.Log(eventNoticeNotSent, telemetry.Peer(vm), telemetry.Value("target", n.Target), telemetry.Err(err))
	}
}

func newNotice(target string, leaving bool, backoff time.Duration) Notice {
	return Notice{Target: target, Leaving: leaving, BackoffMS: uint32(max(backoff, 0).Milliseconds())}
}

// notice returns what a target has announced to this VM.
func (s *Service) notice(target string) Notice {
	source := s.noticeSource()
	if source == nil {
		return Notice{}
	}
	leaving, backoff := source.Notice(target)
	return newNotice(target, leaving, backoff)
}

// handleNotice records a notice of another VM, and passes on those of VMs whose connections this VM carries to the
// other ones for which it carries connections. The latter pass nothing on.
func (s *Service) handleNotice(_ context.Context, from string, payload []byte) (any, error) {
	var n Notice
	if err := peer.Decode(payload, &n); err != nil {
		return nil, err
	}
	s.receiveNotice(&n)
	origins := s.originsInUse.vms()
	if !slices.Contains(origins, from) {
		return nil, nil
	}
	for _, vm := range origins {
		if vm != from {
			s.send(vm, &n)
		}
	}
	return nil, nil
}

func (s *Service) receiveNotice(n *Notice) {
	source := s.noticeSource()
	if source == nil || n.isZero() {
		return
	}
	if n.Limited {
		source.RecordLimit(n.Target, n.LimitPerSecond)
		return
	}
	source.RecordNotice(n.Target, n.Leaving, n.backoff())
}
