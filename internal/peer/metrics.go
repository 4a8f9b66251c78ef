package peer

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// String returns the name used in metrics and logs.
func (k Kind) String() string {
	if name, ok := kindNames[k]; ok {
		return name
	}
	return "other"
}

// kindNames holds the names of all kinds.
var kindNames = map[Kind]string{
	KindPing:         "ping",
	KindHeartbeat:    "heartbeat",
	KindJoin:         "join",
	KindConfigPush:   "config_push",
	KindConfigFetch:  "config_fetch",
	KindTargetReport: "target_report",
	KindTargetSignal: "target_signal",
	KindPermit:       "permit",
	KindRelease:      "release",
	KindGrant:        "grant",
	KindDemand:       "demand",
	KindKeyOwner:     "key_owner",
	KindMirrorPoll:   "mirror_poll",
	KindUsageReport:  "usage_report",
	KindUsageTotal:   "usage_total",

	KindQuarantineReports: "quarantine_news",
	KindQuarantineSync:    "quarantine_sync",
	KindQuarantineLease:   "quarantine_lease",
	KindQuarantineRelease: "quarantine_return",
}

// kinds is the number of values of Kind.
const kinds = 256

// meters are the metrics of one network. Bytes are those of frames, before
// TLS, without what TCP and IP add.
type meters struct {
	in, out  [kinds]*metrics.Counter // bytes
	dropped  *metrics.Counter        // messages that found the queue full
	silent   *metrics.Counter        // connections given up for their silence
	bad      *metrics.Counter        // malformed frames
	unread   *metrics.Counter        // one-way messages of a kind or form that this process does not know
	refused  *metrics.Counter        // handshakes that failed
	dials    *metrics.Counter
	accepted *metrics.Counter
}

func newMeters(set *metrics.Set) *meters {
	m := &meters{
		dropped:  set.GetOrCreateCounter("masticturn_peer_dropped_messages_total"),
		silent:   set.GetOrCreateCounter("masticturn_peer_silent_connections_total"),
		bad:      set.GetOrCreateCounter("masticturn_peer_malformed_frames_total"),
		unread:   set.GetOrCreateCounter("masticturn_peer_unread_messages_total"),
		refused:  set.GetOrCreateCounter("masticturn_peer_refused_total"),
		dials:    set.GetOrCreateCounter("masticturn_peer_dials_total"),
		accepted: set.GetOrCreateCounter("masticturn_peer_accepted_total"),
	}
	for i := range kinds {
		name := Kind(i).String()
		m.in[i] = set.GetOrCreateCounter(fmt.Sprintf(`masticturn_peer_bytes_total{direction="in",kind=%q}`, name))
		m.out[i] = set.GetOrCreateCounter(fmt.Sprintf(`masticturn_peer_bytes_total{direction="out",kind=%q}`, name))
	}
	return m
}
