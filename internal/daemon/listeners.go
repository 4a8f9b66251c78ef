package daemon

import (
	"errors"
	"net"

	"github.com/gravitational/trace"

	"masticturn/internal/settings"
)

// listeners are opened before any service starts, so that a daemon knows its
// addresses when it joins the others, and a busy port is told at once.
type listeners struct {
	callers, peers, operators net.Listener
	ready, lookup             net.Listener // nil where the settings name no address
}

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

// close closes what is open. Listeners that their service has closed already
// are no error.
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
