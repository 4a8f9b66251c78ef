package measure

import (
	"time"

	"masticturn/internal/edge"
)

// report is the message of peer.KindTargetReport: what one prober saw in one
// round.
type report struct {
	Probes []reportedProbe
	Listed []string // targets that the platform's list names as leaving
	Seen   []string // targets that said on an answer to the sender that they leave
}

// reportedProbe is one probe in a report.
type reportedProbe struct {
	Target   string
	OK       bool
	Status   edge.TargetStatus
	InFlight int32
	Slots    int32
	Queued   int32
	AgeMS    uint32 // age when the report was sent
}

// signal is the message of peer.KindTargetSignal: a target's word on an
// answer, passed on at once. Reports renew it.
type signal struct {
	Target string
}

func toReported(p Probe, now time.Time) reportedProbe {
	return reportedProbe{
		Target: p.Target, OK: p.OK, Status: p.Status,
		InFlight: int32(p.InFlight), Slots: int32(p.Slots), Queued: int32(p.Queued),
		AgeMS: uint32(max(now.Sub(p.At), 0).Milliseconds()),
	}
}

func fromReported(p reportedProbe, reporter string, now time.Time) Probe {
	return Probe{
		Target: p.Target, Reporter: reporter, OK: p.OK, Status: p.Status,
		InFlight: int(p.InFlight), Slots: int(p.Slots), Queued: int(p.Queued),
		At: now.Add(-time.Duration(p.AgeMS) * time.Millisecond),
	}
}

// SampleReport returns the message that reports the given targets, for sizing.
func SampleReport(targets []string) any {
	var r report
	for _, t := range targets {
		r.Probes = append(r.Probes, reportedProbe{Target: t, OK: true, Status: edge.TargetOK, InFlight: 3, Slots: 4, Queued: 1, AgeMS: 250})
	}
	return r
}
