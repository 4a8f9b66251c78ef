package daemon

import (
	"errors"
	"net"

	"github.com/gravitational/trace"

	"masticturn/internal/settings"
)

// listeners holds the listeners of a daemon. They are opened before any service starts,
// so that the daemon knows its addresses when it joins the fleet, and that a port in use
// is reported immediately.
type listeners struct {
	callers, peers, operators net.Listener
	ready, lookup             net.Listener // nil if the settings have no address
}

// openListeners opens the listeners that the settings name. On an error it closes those
// already open.
func openListeners(l settings.Listen, listen ListenFunc) (listeners, error) {
	var opened listeners
	for _, want := range []struct {
		field, address string
		into           *net.Listener
	}{
		{"listen.callers", l.Callers, &opened.callers},
		{"listen.peers", l.Peers, &opened.peers},
		{"listen.operators", l.Operators, &opened.operators},
		{"listen.ready", l.Ready, &opened.ready},
		{"listen.lookup", l.Lookup, &opened.lookup},
	} {
		if want.address == "" {
			continue
		}
		listener, err := listen("tcp", want.address)
		if err != nil {
			return listeners{}, trace.NewAggregate(
				trace.ConnectionProblem(err, "%s: cannot listen on %s: %v", want.field, want.address, err),
				opened.close())
		}
		*want.into = listener
	}
	return opened, nil
}

// close closes all open listeners. It ignores those that their services have already
// closed.
func (l listeners) close() error {
	var errs []error
	for _, listener := range []net.Listener{l.callers, l.peers, l.operators, l.ready, l.lookup} {
		if listener == nil {
			continue
		}
		if err := listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			errs = append(errs, trace.Wrap(err))
		}
	}
	return trace.NewAggregate(errs...)
}
