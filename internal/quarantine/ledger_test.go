package quarantine

import (
	"fmt"
	"testing"
	"time"

	"masticturn/internal/digest"
)

func digestOf(name string) digest.Digest { return digest.HeadOf("GET", "h", name).Sum(nil) }

var epoch = time.Unix(1_000_000, 0)

// at is a time of a test, in seconds.
func at(seconds float64) time.Time { return epoch.Add(time.Duration(seconds * float64(time.Second))) }

// crash returns the end of a target during a run from one second to another.
func crash(target int, began, ended float64) Crash {
	return Crash{TargetID(fmt.Sprint("t", target)), at(began), at(ended)}
}

// noCrash stands for a run that was answered when a crash would have ended.
const noCrash = -1

// play takes in crashes, and answers for those of target noCrash, of one request.
func play(l *Ledger, name string, crashes ...Crash) {
	for _, c := range crashes {
		if c.Target == TargetID(fmt.Sprint("t", noCrash)) {
			l.Acquit(digestOf(name), c.Ended)
			continue
		}
		l.Crashed(digestOf(name), digest.Digest{}, c, c.Ended)
	}
}

func TestWhatConvictsAndWhatAcquits(t *testing.T) {
	answer := func(ended float64) Crash { return crash(noCrash, ended, ended) }
	tests := map[string]struct {
		events []Crash
		want   Verdict
	}{
		"nothing":                                {nil, Clear},
		"one target":                             {[]Crash{crash(1, 0, 0.1)}, Clear},
		"one target, told by two runs there":     {[]Crash{crash(1, 0, 0.1), crash(1, 0.05, 0.1)}, Clear},
		"two in sequence":                        {[]Crash{crash(1, 0, 0.1), crash(2, 0.1, 0.2)}, Suspect},
		"two at once":                            {[]Crash{crash(1, 0, 0.1), crash(2, 0.05, 0.2)}, Clear},
		"three in sequence":                      {[]Crash{crash(1, 0, 0.1), crash(2, 0.1, 0.2), crash(3, 0.3, 0.4)}, Quarantined},
		"three, two of them at once":             {[]Crash{crash(1, 0, 0.1), crash(2, 0.1, 0.2), crash(3, 0.15, 0.25)}, Quarantined},
		"a zone at once":                         {[]Crash{crash(1, 0, 1), crash(2, 0.2, 1), crash(3, 0.4, 1), crash(4, 0.9, 1)}, Clear},
		"zones in turn, answered between":        {[]Crash{crash(1, 0, 1), crash(2, 0.2, 1), answer(1.2), crash(3, 2.9, 3), crash(4, 2.8, 3), answer(3.1), crash(5, 4.9, 5)}, Clear},
		"zones in turn, nothing between":         {[]Crash{crash(1, 0, 1), crash(2, 0.2, 1), crash(3, 2.9, 3), crash(4, 2.8, 3)}, Quarantined},
		"answered, then three":                   {[]Crash{answer(0), crash(1, 0, 0.1), crash(2, 0.1, 0.2), crash(3, 0.3, 0.4)}, Quarantined},
		"three, then answered":                   {[]Crash{crash(1, 0, 0.1), crash(2, 0.1, 0.2), crash(3, 0.3, 0.4), answer(0.5)}, Clear},
		"three, answered while the third ran":    {[]Crash{crash(1, 0, 0.1), crash(2, 0.1, 0.2), answer(0.3), crash(3, 0.3, 0.4)}, Clear},
		"out of order":                           {[]Crash{crash(3, 0.3, 0.4), crash(1, 0, 0.1), crash(2, 0.1, 0.2)}, Quarantined},
		"one address that crashes at each start": {[]Crash{crash(1, 0, 0.1), crash(1, 2, 2.1), crash(1, 4, 4.1)}, Quarantined},
	}
	for name, tt := range tests {
		l := NewLedger()
		play(l, "/x", tt.events...)
		if got := l.Judge(digestOf("/x"), at(6)).Verdict; got != tt.want {
			t.Errorf("%s: %v, want %v", name, got, tt.want)
		}
	}
}

// A target that crashes while it runs ten requests has one culprit: the one that
// crashes further targets.
func TestRequestsBesideACulpritAreNotBlamed(t *testing.T) {
	l := NewLedger()
	for n := range 4 {
		began, ended := float64(n), float64(n)+0.1
		play(l, "/culprit", crash(n, began, ended))
		if n != 1 {
			play(l, "/often", crash(n, began-0.3, ended))
		}
		for own := range 8 {
			play(l, fmt.Sprintf("/own/%d/%d", n, own), crash(n, began-0.2, ended))
		}
	}
	if got := l.Judge(digestOf("/culprit"), at(5)).Verdict; got != Quarantined {
		t.Errorf("the culprit is %v", got)
	}
	for _, name := range []string{"/often", "/own/0/0", "/own/3/7"} {
		if got := l.Judge(digestOf(name), at(5)).Verdict; got != Clear {
			t.Errorf("%s is %v", name, got)
		}
	}
}

// A popular request is at crashes under several culprits and is not one itself.
func TestRequestAtCrashesOfSeveralCulpritsIsNotBlamed(t *testing.T) {
	l := NewLedger()
	target := 0
	for c := range 4 {
		for n := range 3 {
			target++
			ended := float64(target)
			play(l, fmt.Sprint("/culprit/", c), crash(target, ended-0.1, ended))
			if n == 1 {
				play(l, "/popular", crash(target, ended-0.3, ended))
			}
		}
	}
	if got := l.Judge(digestOf("/popular"), at(20)); got.Verdict != Clear || got.Crashes != 4 {
		t.Errorf("the popular request: %+v, want it clear", got)
	}
}

// Several culprits that run at the same targets are all found.
func TestCulpritsDoNotHideBehindEachOther(t *testing.T) {
	const culprits = 5
	l := NewLedger()
	for n := range certainCrashes {
		ended := float64(n)
		for c := range culprits {
			if c != n%culprits { // each is at most of them
				play(l, fmt.Sprint("/culprit/", c), crash(n, ended-0.1, ended))
			}
		}
	}
	for n := certainCrashes; n < certainCrashes+2; n++ {
		for c := range culprits {
			play(l, fmt.Sprint("/culprit/", c), crash(n, float64(n)-0.1, float64(n)))
		}
	}
	for c := range culprits {
		if got := l.Judge(digestOf(fmt.Sprint("/culprit/", c)), at(20)); got.Verdict != Quarantined {
			t.Errorf("culprit %d: %+v", c, got)
		}
	}
}

func TestTrialsOfAQuarantinedRequest(t *testing.T) {
	l, d := NewLedger(), digestOf("/x")
	play(l, "/x", crash(1, 0, 0.1), crash(2, 0.1, 0.2), crash(3, 0.3, 0.4))
	play(l, "/x", crash(4, 0.45, 0.55)) // it was under way
	steps := []struct {
		now  float64
		want time.Duration
	}{
		{10.4, 20 * time.Second},
		{30.4, 0},
		{31, 0}, // the trial crashes a target
		{31.2, 5*time.Minute - 100*time.Millisecond},
		{331.1, 0},
		{400, 0}, // and so does the next one
		{401, -time.Second},
		{3000, -time.Second},
	}
	for i, s := range steps {
		if i == 2 || i == 5 {
			play(l, "/x", crash(5+i, s.now, s.now+0.1))
			continue
		}
		if got := l.Judge(d, at(s.now)).TrialIn; got.Round(time.Millisecond) != s.want.Round(time.Millisecond) {
			t.Errorf("at %v s: a trial in %v, want %v", s.now, got, s.want)
		}
	}
	if !l.Acquit(d, at(3001)) || l.Judge(d, at(3001)).Verdict != Clear {
		t.Error("an operator does not lift it")
	}
}

func TestRecordsAreForgotten(t *testing.T) {
	l := NewLedger()
	play(l, "/once", crash(1, 0, 0.1))
	play(l, "/twice", crash(2, 0, 0.1), crash(3, 0.2, 0.3))
	play(l, "/held", crash(4, 0, 0.1), crash(5, 0.2, 0.3), crash(6, 0.4, 0.5))
	for _, s := range []struct {
		after time.Duration
		left  int
	}{{keepSingle - time.Second, 3}, {keepSingle + time.Second, 2}, {keepSuspect + time.Second, 1}, {keepQuarantined, 1}} {
		l.Sweep(at(0.5).Add(s.after))
		if l.Len() != s.left {
			t.Errorf("after %v: %d records, want %d", s.after, l.Len(), s.left)
		}
	}
	if !l.Touch(digestOf("/held"), at(0.5).Add(keepQuarantined)) {
		t.Error("that it is still asked for is no news")
	}
	l.Sweep(at(1).Add(keepQuarantined))
	if l.Len() != 1 {
		t.Error("a request that is still asked for is forgotten")
	}
	l.Sweep(at(1).Add(3 * keepQuarantined))
	if l.Len() != 0 || len(l.targets) != 0 || len(l.heads) != 0 {
		t.Errorf("left: %d records, %d targets, %d heads", l.Len(), len(l.targets), len(l.heads))
	}
}

func TestEndlessDifferentRequestsDropNoneInQuarantine(t *testing.T) {
	l := NewLedger()
	play(l, "/held", crash(-2, 0, 0.1), crash(-3, 0.2, 0.3), crash(-4, 0.4, 0.5))
	play(l, "/twice", crash(-5, 0, 0.1), crash(-6, 0.2, 0.3))
	for n := range maxRecords + 100 {
		play(l, fmt.Sprint("/", n), crash(n, 1, 1+float64(n)/1e6))
	}
	if l.Len() != maxRecords {
		t.Errorf("%d records, at most %d are allowed", l.Len(), maxRecords)
	}
	if !l.Has(digestOf("/held")) || !l.Has(digestOf("/twice")) || l.Has(digestOf("/0")) {
		t.Error("the wrong ones were dropped")
	}
}
