package quarantine

import (
	"fmt"
	"testing"
	"time"

	"masticturn/internal/digest"
)

func digestOf(name string) digest.Digest { return digest.HeadOf("GET", "h", name).Sum(nil) }

var epoch = time.Unix(1_000_000, 0)

// at returns the time the given seconds after epoch.
func at(seconds float64) time.Time { return epoch.Add(time.Duration(seconds * float64(time.Second))) }

// crash returns the crash of a target during a run; the times are in seconds.
func crash(target int, began, ended float64) Crash {
	return Crash{TargetID(fmt.Sprint("t", target)), at(began), at(ended)}
}

// answeredRun is the target of a Crash that stands for an answered run.
const answeredRun = -1

// replay records crashes of one request, and answered runs for those of target noCrash, of one request.
func replay(l *Ledger, name string, crashes ...Crash) {
	for _, c := range crashes {
		if c.Target == TargetID(fmt.Sprint("t", answeredRun)) {
			l.Clear(digestOf(name), c.Ended)
			continue
		}
		l.Crashed(digestOf(name), digest.Digest{}, c, c.Ended)
	}
}

func TestVerdicts(t *testing.T) {
	answer := func(ended float64) Crash { return crash(answeredRun, ended, ended) }
	tests := map[string]struct {
		events []Crash
		want   Verdict
	}{
		"nothing":                                {nil, Clear},
		"one target":                             {[]Crash{crash(1, 0, 0.1)}, Clear},
		"one target, reported by two runs":       {[]Crash{crash(1, 0, 0.1), crash(1, 0.05, 0.1)}, Clear},
		"two in sequence":                        {[]Crash{crash(1, 0, 0.1), crash(2, 0.1, 0.2)}, Suspect},
		"two simultaneous":                       {[]Crash{crash(1, 0, 0.1), crash(2, 0.05, 0.2)}, Clear},
		"three in sequence":                      {[]Crash{crash(1, 0, 0.1), crash(2, 0.1, 0.2), crash(3, 0.3, 0.4)}, Quarantined},
		"three, two of them simultaneous":        {[]Crash{crash(1, 0, 0.1), crash(2, 0.1, 0.2), crash(3, 0.15, 0.25)}, Quarantined},
		"availability zone":                      {[]Crash{crash(1, 0, 1), crash(2, 0.2, 1), crash(3, 0.4, 1), crash(4, 0.9, 1)}, Clear},
		"availability zones, answered between":   {[]Crash{crash(1, 0, 1), crash(2, 0.2, 1), answer(1.2), crash(3, 2.9, 3), crash(4, 2.8, 3), answer(3.1), crash(5, 4.9, 5)}, Clear},
		"availability zones, not answered":       {[]Crash{crash(1, 0, 1), crash(2, 0.2, 1), crash(3, 2.9, 3), crash(4, 2.8, 3)}, Quarantined},
		"answered, then three":                   {[]Crash{answer(0), crash(1, 0, 0.1), crash(2, 0.1, 0.2), crash(3, 0.3, 0.4)}, Quarantined},
		"three, then answered":                   {[]Crash{crash(1, 0, 0.1), crash(2, 0.1, 0.2), crash(3, 0.3, 0.4), answer(0.5)}, Clear},
		"three, answered during the third run":   {[]Crash{crash(1, 0, 0.1), crash(2, 0.1, 0.2), answer(0.3), crash(3, 0.3, 0.4)}, Clear},
		"out of order":                           {[]Crash{crash(3, 0.3, 0.4), crash(1, 0, 0.1), crash(2, 0.1, 0.2)}, Quarantined},
		"one target, crashes after each restart": {[]Crash{crash(1, 0, 0.1), crash(1, 2, 2.1), crash(1, 4, 4.1)}, Quarantined},
	}
	for name, tt := range tests {
		l := NewLedger()
		replay(l, "/x", tt.events...)
		if got := l.Assess(digestOf("/x"), at(6)).Verdict; got != tt.want {
			t.Errorf("%s: got %v, want %v", name, got, tt.want)
		}
	}
}

// Guards against quarantining all requests that were running on crashed targets, rather
// than only the one that was running at every crash.
func TestConcurrentRequestsAreNotQuarantined(t *testing.T) {
	l := NewLedger()
	for n := range 4 {
		began, ended := float64(n), float64(n)+0.1
		replay(l, "/crashing", crash(n, began, ended))
		if n != 1 {
			replay(l, "/frequent", crash(n, began-0.3, ended))
		}
		for own := range 8 {
			replay(l, fmt.Sprintf("/own/%d/%d", n, own), crash(n, began-0.2, ended))
		}
	}
	if got := l.Assess(digestOf("/crashing"), at(5)).Verdict; got != Quarantined {
		t.Errorf("the crashing request is %v, want quarantined", got)
	}
	for _, name := range []string{"/frequent", "/own/0/0", "/own/3/7"} {
		if got := l.Assess(digestOf(name), at(5)).Verdict; got != Clear {
			t.Errorf("%s is %v, want clear", name, got)
		}
	}
}

// Guards against quarantining a frequent request that was running at crashes caused by
// several other requests.
func TestFrequentRequestIsNotQuarantined(t *testing.T) {
	l := NewLedger()
	target := 0
	for c := range 4 {
		for n := range 3 {
			target++
			ended := float64(target)
			replay(l, fmt.Sprint("/crashing/", c), crash(target, ended-0.1, ended))
			if n == 1 {
				replay(l, "/frequent", crash(target, ended-0.3, ended))
			}
		}
	}
	if got := l.Assess(digestOf("/frequent"), at(20)); got.Verdict != Clear || got.Crashes != 4 {
		t.Errorf("the frequent request: got %+v, want clear with 4 crashes", got)
	}
}

// Guards against crashing requests escaping quarantine because each one's crashes are
// attributed to another that ran on the same targets.
func TestConcurrentCrashingRequestsAreAllQuarantined(t *testing.T) {
	const requests = 5
	l := NewLedger()
	for n := range unconditionalCrashes {
		ended := float64(n)
		for c := range requests {
			if c != n%requests { // each is missing at one crash in five
				replay(l, fmt.Sprint("/crashing/", c), crash(n, ended-0.1, ended))
			}
		}
	}
	for n := unconditionalCrashes; n < unconditionalCrashes+2; n++ {
		for c := range requests {
			replay(l, fmt.Sprint("/crashing/", c), crash(n, float64(n)-0.1, float64(n)))
		}
	}
	for c := range requests {
		if got := l.Assess(digestOf(fmt.Sprint("/crashing/", c)), at(20)); got.Verdict != Quarantined {
			t.Errorf("request %d: got %+v, want quarantined", c, got)
		}
	}
}

func TestTrialsOfAQuarantinedRequest(t *testing.T) {
	l, d := NewLedger(), digestOf("/x")
	replay(l, "/x", crash(1, 0, 0.1), crash(2, 0.1, 0.2), crash(3, 0.3, 0.4))
	replay(l, "/x", crash(4, 0.45, 0.55)) // a run that began before the quarantine is not a trial
	steps := []struct {
		now  float64
		want time.Duration
	}{
		{10.4, 20 * time.Second},
		{30.4, 0},
		{31, 0}, // the first trial crashes a target
		{31.2, 5*time.Minute - 100*time.Millisecond},
		{331.1, 0},
		{400, 0}, // the second trial crashes a target
		{401, -time.Second},
		{3000, -time.Second},
	}
	for i, s := range steps {
		if i == 2 || i == 5 {
			replay(l, "/x", crash(5+i, s.now, s.now+0.1))
			continue
		}
		if got := l.Assess(d, at(s.now)).TrialIn; got.Round(time.Millisecond) != s.want.Round(time.Millisecond) {
			t.Errorf("at %v s: next trial in %v, want %v", s.now, got, s.want)
		}
	}
	if !l.Clear(d, at(3001)) || l.Assess(d, at(3001)).Verdict != Clear {
		t.Error("the quarantine was not lifted")
	}
}

func TestRecordsExpire(t *testing.T) {
	l := NewLedger()
	replay(l, "/once", crash(1, 0, 0.1))
	replay(l, "/twice", crash(2, 0, 0.1), crash(3, 0.2, 0.3))
	replay(l, "/held", crash(4, 0, 0.1), crash(5, 0.2, 0.3), crash(6, 0.4, 0.5))
	for _, s := range []struct {
		after time.Duration
		left  int
	}{{singleCrashRetention - time.Second, 3}, {singleCrashRetention + time.Second, 2}, {suspectRetention + time.Second, 1}, {quarantineRetention, 1}} {
		l.Sweep(at(0.5).Add(s.after))
		if l.Len() != s.left {
			t.Errorf("after %v: %d records, want %d", s.after, l.Len(), s.left)
		}
	}
	if !l.Touch(digestOf("/held"), at(0.5).Add(quarantineRetention)) {
		t.Error("Touch did not update the last arrival")
	}
	l.Sweep(at(1).Add(quarantineRetention))
	if l.Len() != 1 {
		t.Error("the record of a request that still arrives expired")
	}
	l.Sweep(at(1).Add(3 * quarantineRetention))
	if l.Len() != 0 || len(l.targets) != 0 || len(l.heads) != 0 {
		t.Errorf("%d records, %d targets and %d heads left, want none", l.Len(), len(l.targets), len(l.heads))
	}
}

func TestEvictionKeepsQuarantinedRequests(t *testing.T) {
	l := NewLedger()
	replay(l, "/held", crash(-2, 0, 0.1), crash(-3, 0.2, 0.3), crash(-4, 0.4, 0.5))
	replay(l, "/twice", crash(-5, 0, 0.1), crash(-6, 0.2, 0.3))
	for n := range maxRecords + 100 {
		replay(l, fmt.Sprint("/", n), crash(n, 1, 1+float64(n)/1e6))
	}
	if l.Len() != maxRecords {
		t.Errorf("got %d records, want %d", l.Len(), maxRecords)
	}
	if !l.Has(digestOf("/held")) || !l.Has(digestOf("/twice")) || l.Has(digestOf("/0")) {
		t.Error("records with more crashes were evicted before those with fewer")
	}
}
