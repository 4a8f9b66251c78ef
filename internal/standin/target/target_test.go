package target

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"masticturn/internal/edge"
	"masticturn/internal/standin"
)

const seed = 42

func start(t *testing.T, opts Options) *Target {
	t.Helper()
	opts.Name, opts.Slots, opts.Seed, opts.Log = "t", max(1, opts.Slots), 1, NewLog()
	tg, err := Start(opts)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { tg.Kill() })
	return tg
}

// get makes a request on a fresh connection; the caller closes the body.
func get(ctx context.Context, t *testing.T, tg *Target, path string, n int64) (*http.Response, error) {
	t.Helper()
	url := "http://" + tg.Address() + path + "?" + standin.QueryContent + "=" + strconv.Itoa(seed) + "&" + standin.QueryBytes + "=" + strconv.FormatInt(n, 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(edge.HeaderTargetRequestID, "id-1")
	return (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
}

func TestFaultsAsSeenByTheOtherSide(t *testing.T) {
	const n = 10_000
	broken := errors.New("connection broke or fell silent")
	cases := []struct {
		fault    Fault
		want     error // of the content; broken stands for any error of the connection
		executed bool
	}{
		{NoFault, nil, true},
		{SilentBefore, broken, false},
		{SilentAfter, broken, true},
		{CutBefore, broken, false},
		{CutAfter, broken, true},
		{CutAnswer, broken, true},
		{WrongLength, broken, true},
		{Trickle, nil, true},
		{HeadersOnly, broken, true},
		{Crossed, standin.ErrForeign, true},
		{Doubled, nil, true},
	}
	for _, tc := range cases {
		t.Run(tc.fault.String(), func(t *testing.T) {
			tg := start(t, Options{})
			tg.SetFaults(1, tc.fault)
			timeout := 5 * time.Second
			if tc.fault == SilentBefore || tc.fault == SilentAfter || tc.fault == WrongLength || tc.fault == HeadersOnly {
				timeout = 100 * time.Millisecond
			}
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			resp, err := get(ctx, t, tg, "/s", n)
			if err == nil {
				err = standin.CheckContent(resp.Body, seed, n)
				resp.Body.Close()
			}
			content := errors.Is(err, standin.ErrForeign) || errors.Is(err, standin.ErrShort) || errors.Is(err, standin.ErrLong)
			if err != nil && !content {
				err = broken
			}
			if !errors.Is(err, tc.want) {
				t.Fatalf("error = %v, want %v", err, tc.want)
			}
			if r := tg.opts.Log.Records()[0]; r.Executed() != tc.executed || r.RequestID != "id-1" || r.Fault != tc.fault {
				t.Fatalf("record = %+v", r)
			}
		})
	}
}

func TestShedsBeyondItsQueueAndReportsLoad(t *testing.T) {
	gauge := standin.NewGauge(1)
	tg := start(t, Options{Slots: 1, QueueLimit: 1, Service: time.Hour, Gauges: []*standin.Gauge{gauge}})
	ended := make(chan error)
	request := func() (cancel context.CancelFunc) {
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		go func() {
			_, err := get(ctx, t, tg, "/s", 1)
			ended <- err
		}()
		return cancel
	}
	waitFor := func(load edge.TargetLoad) {
		for tg.Load() != load {
			time.Sleep(time.Millisecond)
		}
	}
	cancelRunning := request()
	waitFor(edge.TargetLoad{InFlight: 1, Slots: 1})
	cancelWaiting := request()
	waitFor(edge.TargetLoad{InFlight: 1, Slots: 1, Queued: 1})
	resp, err := get(context.Background(), t, tg, "/s", 1)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(edge.HeaderTargetNotRun) != "1" || resp.Header.Get(edge.HeaderTargetLoad) != "1/1" {
		t.Fatalf("status %d, header %v", resp.StatusCode, resp.Header)
	}
	cancelWaiting()
	<-ended
	waitFor(edge.TargetLoad{InFlight: 1, Slots: 1})
	cancelRunning()
	<-ended
	waitFor(edge.TargetLoad{Slots: 1}) // cancellation frees both places
	if r := gauge.Read(); r.High != 2 || r.Over <= 0 {
		t.Fatalf("gauge = %+v", r)
	}
	executed := 0
	for _, r := range tg.opts.Log.Records() {
		if r.Executed() {
			executed++
		}
	}
	if executed != 1 {
		t.Fatalf("%d executed", executed)
	}
}

func TestReports(t *testing.T) {
	tg := start(t, Options{Slots: 3})
	fetch := func(path string, v any) error {
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		resp, err := get(ctx, t, tg, path, 0)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		return json.NewDecoder(resp.Body).Decode(v)
	}
	var health edge.TargetHealth
	var load edge.TargetLoad
	if err := errors.Join(fetch(edge.PathTargetHealth, &health), fetch(edge.PathTargetLoad, &load)); err != nil {
		t.Fatal(err)
	}
	if health.Status != edge.TargetOK || load.Slots != 3 {
		t.Fatalf("%+v %+v", health, load)
	}
	tg.SetDraining(true)
	fetch(edge.PathTargetHealth, &health)
	if health.Status != edge.TargetDraining {
		t.Fatalf("draining target says %v", health.Status)
	}
	tg.SetReport(Report{Health: &edge.TargetHealth{Status: edge.TargetOK}, Load: &edge.TargetLoad{Slots: 99}})
	if err := errors.Join(fetch(edge.PathTargetHealth, &health), fetch(edge.PathTargetLoad, &load)); err != nil || health.Status != edge.TargetOK || load.Slots != 99 {
		t.Fatalf("lie: %+v %+v %v", health, load, err)
	}
	tg.SetReport(Report{Stopped: true})
	if fetch(edge.PathTargetHealth, &health) == nil || fetch(edge.PathTargetLoad, &load) == nil {
		t.Fatal("stopped endpoints answered")
	}
}

func TestKillAndRestartKeepTheAddress(t *testing.T) {
	tg := start(t, Options{ColdFor: time.Hour, ColdFactor: 10})
	address := tg.Address()
	tg.Kill()
	if _, err := get(context.Background(), t, tg, "/s", 1); err == nil {
		t.Fatal("a killed target answered")
	}
	if err := tg.Restart(); err != nil || tg.Address() != address {
		t.Fatalf("restart at %s: %v", tg.Address(), err)
	}
	if _, health := tg.toldHealth(); health.Status != edge.TargetCold {
		t.Fatalf("after a restart it says %v", health.Status)
	}
}

func TestCutPlanCutsAtTheByte(t *testing.T) {
	const n = 100_000
	for _, limit := range []int64{1, 50, 1000, 60_000} {
		tg := start(t, Options{})
		tg.SetCutPlan(func() int64 { return limit })
		resp, err := get(context.Background(), t, tg, "/s", n)
		if err != nil {
			continue
		}
		got, err := io.Copy(io.Discard, resp.Body)
		if err == nil || got >= limit {
			t.Errorf("cut after %d bytes: got %d bytes of the answer, error %v", limit, got, err)
		}
	}
}

func TestHighConnectionsOutliveARestart(t *testing.T) {
	tg := start(t, Options{})
	const count = 3
	for range count {
		conn, err := net.Dial("tcp", tg.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	for tg.HighConnections() < count {
		time.Sleep(time.Millisecond)
	}
	tg.Kill()
	if err := tg.Restart(); err != nil {
		t.Fatal(err)
	}
	if high := tg.HighConnections(); high != count {
		t.Fatalf("high = %d", high)
	}
}

func TestServiceTimeHasItsMean(t *testing.T) {
	const draws = 20_000
	tg := start(t, Options{Service: 10 * time.Millisecond, Sigma: 0.5})
	var sum time.Duration
	for range draws {
		_, d := tg.draw()
		sum += d
	}
	if mean := sum / draws; mean < 9800*time.Microsecond || mean > 10200*time.Microsecond {
		t.Fatalf("mean = %v", mean)
	}
}
