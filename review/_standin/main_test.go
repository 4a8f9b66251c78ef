package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// Exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitCantRun = 2
)

// verdict is the outcome of a case.
type verdict struct {
	broken  bool
	summary string
}

// cases are the cases by the name of their folder.
var cases = map[string]func(w *world, trouble bool) (verdict, error){}

// TestMain plays a case. The stand-ins are test code: review/build.sh builds them with go test -c.
func TestMain(*testing.M) {
	name := flag.String("case", "", "case to play")
	out := flag.String("record", "", "file of the record")
	flag.Parse()
	trouble := os.Getenv("TROUBLE") != "0"
	play := cases[*name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case:", *name)
		os.Exit(exitCantRun)
	}
	if *out == "" {
		*out = filepath.Join("review", *name, "record.txt")
	}
	w, err := newWorld(*out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCantRun)
	}
	v, err := play(w, trouble)
	code := exitHeld

	switch {
	case err != nil:
		code, v.summary = exitCantRun, "the case could not run: "+err.Error()
	case v.broken:
		code = exitBroken
	}
	w.log("%s", strings.TrimSpace(v.summary))
	fmt.Println(v.summary)
	if code == exitCantRun || os.Getenv("KEEP") != "" {
		w.printLogs()
	}
	w.close()
	os.Exit(code)
}

// printLogs prints the last lines of the daemons' logs.
func (w *world) printLogs() {
	for _, d := range w.daemons {
		raw, _ := os.ReadFile(filepath.Join(w.dir, d.name+".log"))
		if dir := os.Getenv("KEEP"); dir != "" {
			_ = os.WriteFile(filepath.Join(dir, d.name+".log"), raw, 0o600)
			continue
		}
		fmt.Printf("== %s\n%s\n", d.name, raw[max(0, len(raw)-2000):])
	}
}

// waitFor waits until a condition holds, at most for the limit.
func waitFor(limit time.Duration, condition func() bool) bool {
	for began := time.Now(); time.Since(began) < limit; time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// logAttempts writes each client attempt to the record: what was sent, what was answered and where it ran.
func (w *world) logAttempts(attempts []*attempt, runs *runLog) {
	since := func(at time.Time) float64 { return at.Sub(w.began).Seconds() }
	for _, a := range attempts {
		text := ""
		for _, r := range runs.of(a.id) {
			text += fmt.Sprintf(" %s at %.3f", r.upstream, since(r.at))
		}
		w.log("%s %s %s to %s sent %.3f ended %.3f status %d receipt %q whole %t error %s; ran:%s",
			a.id, a.method, a.path, a.daemon, since(a.sentAt), since(a.endedAt), a.status, a.signature, a.whole, a.errText(), text)
	}
}
