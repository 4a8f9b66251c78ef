package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["3"] = playEvacuation }

// Moments of the case, from the start of traffic.
const (
	copyAt       = 4 * time.Second          // the state that the store comes back with
	firstEvacAt  = 8 * time.Second          // the operator evacuates the zone
	firstEvacEnd = 10500 * time.Millisecond // and takes it back
	drillAt      = 11500 * time.Millisecond // the store is away
	drillEnd     = 12 * time.Second         // and comes back from the copy
	secondEvacAt = 13 * time.Second         // the operator evacuates the zone again
	zoneEndAt    = 43 * time.Second         // the zone, which should be empty, loses power
	evacEnd      = 46 * time.Second
)

const (
	evacBound     = 5 * time.Second // evacuation
	stableWindow  = 4 * time.Second
	heartbeat     = 1500 * time.Millisecond
	evacuatedZone = "ros-a"
	evacDaemons   = 6
	evacClients   = 24
	evacUpstreams = 12
	evacKind      = "evacuations"
)

// playEvacuation evacuates a zone, takes it back, lets the store come back from a copy of before the evacuation, and
// evacuates the zone again.
func playEvacuation(w *world, trouble bool) (verdict, error) {
	runs := newRunLog()
	w.writeManifest(1, []route{{"/hold/", "unsafe", "holdbook", "2500ms", 2}}, []string{clusterOf("holdbook")})
	upstreams, stopBeats, err := startBeatingUpstreams(w, runs)
	if err != nil {
		return verdict{}, err
	}
	defer stopBeats()
	if err := w.startFleet(evacDaemons); err != nil {
		return verdict{}, err
	}
	time.Sleep(2 * time.Second)
	var log attemptLog
	var wg sync.WaitGroup
	var ended atomic.Bool
	for i := range evacClients {
		wg.Go(func() {
			c := &client{front: w.daemons[i%len(w.daemons)].front}
			defer c.drop()
			for n := 0; !ended.Load(); n++ {
				a := &attempt{id: newID(), method: http.MethodPost, path: fmt.Sprintf("/hold/%d-%d", i, n), body: []byte("hold " + newID())}
				c.do(a, requestBudget)
				log.add(a)
				time.Sleep(time.Duration(rand.Int63n(int64(200 * time.Millisecond))))
			}
		})
	}
	began := time.Now()
	until := func(at time.Duration) { time.Sleep(time.Until(began.Add(at))) }
	until(copyAt)
	kept := w.objects.Copy()
	w.log("store: the copy is of now")
	until(firstEvacAt)
	w.evacuate(evacuatedZone)
	until(firstEvacEnd)
	w.objects.Remove(evacKind, evacuatedZone)
	w.log("operator: %s is taken back", evacuatedZone)
	until(drillAt)
	if trouble {
		w.objects.SetOutage(true)
		w.log("store: away")
	}
	until(drillEnd)
	if trouble {
		latest := w.objects.Restore(kept)
		w.objects.SetOutage(false)
		// The upstreams write again with their next status reports.
		w.objects.WriteAgain(latest, "config", evacKind)
		w.log("store: back from a copy that is %s old, era %d", drillEnd-copyAt, w.objects.Era())
	}
	until(secondEvacAt)
	acked := w.evacuate(evacuatedZone)
	until(zoneEndAt)
	w.log("zone %s loses power", evacuatedZone)
	for _, u := range upstreams {
		if u.zone == evacuatedZone {
			u.crash(time.Hour)
		}
	}
	until(evacEnd)
	ended.Store(true)
	wg.Wait()
	from := acked.Add(evacBound)
	if stable := began.Add(drillEnd + stableWindow); stable.After(from) {
		from = stable
	}
	return judgeEvacuation(w, log.all(), runs, upstreams, acked, from), nil
}

// startBeatingUpstreams starts upstreams in two zones of one region, which report their status to the store.
func startBeatingUpstreams(w *world, runs *runLog) (list map[string]*upstream, stop func(), err error) {
	list = make(map[string]*upstream)
	stopped := make(chan struct{})
	var beats sync.WaitGroup
	for i := range evacUpstreams {
		u := &upstream{w: w, id: fmt.Sprintf("i-hold-%02d", i), service: "holdbook", zone: []string{evacuatedZone, "ros-b"}[i%2], slots: 5, work: 60 * time.Millisecond, runs: runs}
		list[u.id] = u
		if err := u.start(100 + i); err != nil {
			return nil, nil, err
		}
		beats.Go(func() {
			ticker := time.NewTicker(heartbeat)
			defer ticker.Stop()
			for {
				select {
				case <-ticker.C:
					if u.isUp() {
						u.register("ready")
					}
				case <-stopped:
					return
				}
			}
		})
	}
	return list, func() { close(stopped); beats.Wait() }, nil
}

// evacuate writes the operator's entry and returns when it was acknowledged.
func (w *world) evacuate(zone string) time.Time {
	w.objects.Put(evacKind, zone, []byte(`{}`))
	acked := time.Now()
	o, _ := w.objects.Peek(evacKind, zone)
	w.log("operator: the evacuation of %s is acknowledged, revision %d, era %d", zone, o.Version.Revision(), o.Version.Era())
	return acked
}

// judgeEvacuation applies the rule EVAC from the moment at which the daemons are in touch and the bound is over. It also
// tells what was lost with the zone.
func judgeEvacuation(w *world, attempts []*attempt, runs *runLog, upstreams map[string]*upstream, acked, from time.Time) verdict {
	w.logAttempts(attempts, runs)
	total, late, lost := 0, 0, 0
	byDaemon, last := map[string]int{}, time.Time{}
	for _, a := range attempts {
		for _, r := range runs.of(a.id) {
			total++
			if upstreams[r.upstream].zone != evacuatedZone || !r.at.After(from) {
				continue
			}
			late++
			byDaemon[a.daemon]++
			w.log("EVAC %s by daemon %s reaches %s in %s %.1f s after the ack; answered %d %s", a.id, a.daemon, r.upstream, evacuatedZone, r.at.Sub(acked).Seconds(), a.status, a.errText())
			if r.at.After(last) {
				last = r.at
			}
			if a.status != http.StatusOK {
				lost++
			}
		}
	}
	s := fmt.Sprintf("%d requests ran; %d in %s later than %s after the ack of its evacuation (EVAC), sent by %d of %d daemons", total, late, evacuatedZone, evacBound, len(byDaemon), evacDaemons)
	if late > 0 {
		s += fmt.Sprintf(", the last one %.1f s after it; %d of these holds were lost with the zone", last.Sub(acked).Seconds(), lost)
	}
	return verdict{late > 0, s}
}
