package peer

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// String returns the name of the kind in metrics and logs.
func (k Kind) String() string {
	if name, ok := kindNames[k]; ok {
		return name
	}
	return "other"
}

// kindNames holds the names of kinds in metrics and logs. Kinds without a name are
// reported as "other".
var kindNames = map[Kind]string{
	KindTargetNotice: "target_notice",
	KindTargetTokens: "target_tokens",
	KindPing:         "ping",
	KindHeartbeat:    "heartbeat",
	KindJoin:         "join",
	KindRoster:       "roster",
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
	KindRegionLoad:   "region-load",

	KindQuarantineReports: "quarantine_news",
	KindQuarantineSync:    "quarantine_sync",
	KindQuarantineLease:   "quarantine_lease",
	KindQuarantineRelease: "quarantine_return",
}

// kindCount is the number of possible values of Kind.
const kindCount = 256

// counters are the metrics of a network. Byte counts are sizes of frames, without
// the overhead of TLS, TCP and IP.
type counters struct {
	bytesIn, bytesOut [kindCount]*metrics.Counter // by kind
	dropped           *metrics.Counter            // messages dropped because a queue was full
	silent            *metrics.Counter            // connections closed because the peer stopped acknowledging
	silentReceiving   *metrics.Counter            // ... while a large frame was being received
	malformed         *metrics.Counter            // malformed frames
	unhandled         *metrics.Counter            // one-way messages without a handler or whose handler failed
	refused           *metrics.Counter            // handshakes that failed with ErrRefused
	dials             *metrics.Counter
	// abandonedReceiving counts calls that were given up while their response was being received.
	abandonedReceiving *metrics.Counter
	accepted           *metrics.Counter
}

func newCounters(set *metrics.Set) *counters {
	m := &counters{
		dropped:            set.GetOrCreateCounter("masticturn_peer_dropped_messages_total"),
		silent:             set.GetOrCreateCounter("masticturn_peer_silent_connections_total"),
		silentReceiving:    set.GetOrCreateCounter("masticturn_peer_silent_connections_receiving_total"),
		malformed:          set.GetOrCreateCounter("masticturn_peer_malformed_frames_total"),
		unhandled:          set.GetOrCreateCounter("masticturn_peer_unread_messages_total"),
		refused:            set.GetOrCreateCounter("masticturn_peer_refused_total"),
		abandonedReceiving: set.GetOrCreateCounter("masticturn_peer_calls_abandoned_receiving_total"),
		dials:              set.GetOrCreateCounter("masticturn_peer_dials_total"),
		accepted:           set.GetOrCreateCounter("masticturn_peer_accepted_total"),
	}
	for i := range kindCount {
		name := Kind(i).String()
		m.bytesIn[i] = set.GetOrCreateCounter(fmt.Sprintf(`masticturn_peer_bytes_total{direction="in",kind=%q}`, name))
		m.bytesOut[i] = set.GetOrCreateCounter(fmt.Sprintf(`masticturn_peer_bytes_total{direction="out",kind=%q}`, name))
	}
	return m
}
