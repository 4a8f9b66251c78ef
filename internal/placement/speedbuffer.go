package placement

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// maxSampleRuns bounds the runs in one sample.
	maxSampleRuns = 1 << 12
	// maxReportSpeeds is the number of targets with samples in one report. The samples of further
	// targets follow in the next report, merged with later ones; so reports stay within the budget
	// for control traffic.
	maxReportSpeeds = 32
	// maxBufferedSpeeds bounds the number of targets of a service whose samples wait to be forwarded.
	maxBufferedSpeeds = 1 << 13
)

// newSpeedSample returns the sample of one run.
func newSpeedSample(ratio float64) SpeedSample {
	ratio = min(max(ratio, 1/maxSlowness), maxSlowness)
	return SpeedSample{Runs: 1, Ratio: uint32(math.Round(100 * ratio))}
}

// mean returns the mean ratio of the runs.
func (s SpeedSample) mean() float64 { return float64(s.Ratio) / float64(s.Runs) / 100 }

// clamped returns the sample with its values within their bounds. It must have runs.
func (s SpeedSample) clamped() SpeedSample {
	mean := min(max(s.mean(), 1/maxSlowness), maxSlowness)
	runs := min(s.Runs, maxSampleRuns)
	return SpeedSample{Runs: runs, Ratio: uint32(math.Round(100 * mean * float64(runs)))}
}

// plus returns the sum of two samples. A sum beyond maxSampleRuns leaves the other sample out.
func (s SpeedSample) plus(other SpeedSample) SpeedSample {
	if s.Runs+other.Runs > maxSampleRuns {
		return s
	}
	return SpeedSample{Runs: s.Runs + other.Runs, Ratio: s.Ratio + other.Ratio}
}

// speedBuffers hold samples that are to be forwarded, by service.
type speedBuffers map[string]*speedBuffer

// speedBuffer holds the samples of one service's targets.
type speedBuffer struct {
	samples map[uint32]SpeedSample // by shortID of the target
	next    uint32                 // shortID from which on samples are taken next
	usedAt  time.Time
}

// add merges samples into the buffer of a service.
func (b speedBuffers) add(service string, samples map[uint32]SpeedSample, now time.Time) {
	if len(samples) == 0 {
		return
	}
	buffer := b[service]
	if buffer == nil {
		buffer = &speedBuffer{samples: make(map[uint32]SpeedSample), usedAt: now}
		b[service] = buffer
	}
	buffer.expire(now)
	for id, sample := range samples {
		before, ok := buffer.samples[id]
		if sample.Runs > 0 && (ok || len(buffer.samples) < maxBufferedSpeeds) {
			buffer.samples[id] = before.plus(sample.clamped())
		}
	}
}

// expire drops samples that nothing has been added to or taken from for maxReportTTL: the VM has been
// suspended.
func (b *speedBuffer) expire(now time.Time) {
	if now.Sub(b.usedAt) > maxReportTTL {
		clear(b.samples)
	}
	b.usedAt = now
}

// forward moves samples from the buffers, and those already in a report, into the report, which then has
// those of maxReportSpeeds targets.
func (b speedBuffers) forward(r *LoadReport, now time.Time) {
	for service, u := range r.Services {
		b.add(service, u.Speeds, now)
		u.Speeds = nil
	}
	for service, buffer := range b {
		buffer.expire(now)
		if len(buffer.samples) == 0 {
			delete(b, service)
		}
	}
	for service, buffer := range b {
		r.usage(service).Speeds = buffer.take(max(1, maxReportSpeeds/len(b)))
	}
}

// take removes and returns the samples of at most n targets. The targets take turns.
func (b *speedBuffer) take(n int) map[uint32]SpeedSample {
	ids := slices.Sorted(maps.Keys(b.samples))
	first, _ := slices.BinarySearch(ids, b.next)
	taken := make(map[uint32]SpeedSample)
	for i := range min(n, len(ids)) {
		id := ids[(first+i)%len(ids)]
		taken[id] = b.samples[id]
		delete(b.samples, id)
		b.next = id + 1
	}
	return taken
}
