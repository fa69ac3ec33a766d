package gate

import (
	"fmt"
	"math"
	"net/http"
	"sync"
	"testing"
	"time"

	"fulmarhinge/internal/wire"
)

const (
	// limitWindow, limitFactor and limitExtra bound the requests that a server may get in
	// any window: limitFactor times what its limit allows, plus limitExtra.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitExtra  = 5
)

// arrivals records when requests reach a server.
type arrivals struct {
	mu    sync.Mutex
	times []time.Time
}

func (a *arrivals) add() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times = append(a.times, time.Now())
}

// most returns the highest number of arrivals in one window.
func (a *arrivals) most(window time.Duration) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	most, first := 0, 0
	for i := range a.times {
		for a.times[i].Sub(a.times[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// sendSteadily sends requests at a steady rate per second, each on its own goroutine, for
// the given time and waits for all of them.
func sendSteadily(duration time.Duration, rate int, send func()) {
	var callers sync.WaitGroup
	for start := time.Now(); time.Since(start) < duration; time.Sleep(time.Second / time.Duration(rate)) {
		callers.Go(send)
	}
	callers.Wait()
}

// TestNamedLimitIsKept guards against a server that gets more requests than the limit
// which its answers name.
func TestNamedLimitIsKept(t *testing.T) {
	const limit = 10.0
	var reached arrivals
	b := &backend{respond: func(w http.ResponseWriter, _ *http.Request, _ int64) {
		reached.add()
		w.Header().Set("Limit", fmt.Sprint(limit))
		time.Sleep(10 * time.Millisecond)
	}}
	g := newGate(t, b, always(true))
	g.Do(t.Context(), head("5"), nil)
	sendSteadily(limitWindow+time.Second, 100, func() { g.Do(t.Context(), head("5"), nil) })
	allowed := limitFactor*limit*limitWindow.Seconds() + limitExtra
	if got := reached.most(limitWindow); float64(got) > allowed {
		t.Errorf("the server got %d requests in %v, allowed %.0f", got, limitWindow, allowed)
	}
}

// TestLeavingStatedInAnswers guards against requests to a server later than its drain
// period after its answers have stated that it leaves.
func TestLeavingStatedInAnswers(t *testing.T) {
	var reached arrivals
	b := &backend{respond: func(w http.ResponseWriter, _ *http.Request, _ int64) {
		reached.add()
		w.Header().Set("Leaving", "1")
	}}
	g := newGate(t, b, always(true))
	g.Do(t.Context(), head("5"), nil)
	drained := time.Now().Add(time.Duration(g.drainPeriod.Load()))
	sendSteadily(time.Until(drained)+500*time.Millisecond, 50, func() { g.Do(t.Context(), head("5"), nil) })
	late := 0
	for _, at := range reached.times {
		if at.After(drained) {
			late++
		}
	}
	if late > 0 {
		t.Errorf("%d requests reached the server after its drain period", late)
	}
}

// TestLimitFollowsAnswers has a server name a limit, a malformed one, none, and a limit in
// a 421, which may be that of another server.
func TestLimitFollowsAnswers(t *testing.T) {
	for _, tc := range []struct {
		name, named string
		status      int
		want        float64
	}{
		{"limit", "7.5", http.StatusOK, 7.5},
		{"malformed", "many", http.StatusOK, 7.5},
		{"in a 421", "3", http.StatusMisdirectedRequest, 7.5},
		{"another limit", "9", http.StatusOK, 9},
		{"in a failure", "8", http.StatusInternalServerError, 8},
		{"none", "", http.StatusOK, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			named, status := "7.5", http.StatusOK
			b := &backend{respond: func(w http.ResponseWriter, _ *http.Request, _ int64) {
				if named != "" {
					w.Header().Set("Limit", named)
				}
				w.WriteHeader(status)
			}}
			g := newGate(t, b, always(true))
			g.Do(t.Context(), head(""), nil)
			named, status = tc.named, tc.status
			out, _ := g.Do(t.Context(), head(""), nil)
			if got := g.Limit(); got != tc.want || out.GetNotice().GetLimit() != tc.want {
				t.Errorf("limit %v, in the response %v; expected %v", got, out.GetNotice().GetLimit(), tc.want)
			}
			next := testServer(true)
			next.StartedMs++
			if g.SetServer(next, time.Now()); g.Limit() != 0 {
				t.Errorf("the next instance has the limit %v", g.Limit())
			}
		})
	}
}

// TestMalformedNoticeOfPeer sends notices whose numbers no server states. None changes the
// rate of a server or moves the start of its drain period to the future.
func TestMalformedNoticeOfPeer(t *testing.T) {
	for _, limit := range []float64{-1, math.NaN(), math.Inf(1)} {
		// The answer ends a limit that was adopted, so it is looked at before.
		var g *Gate
		adopted := false
		g = newGate(t, &backend{respond: func(http.ResponseWriter, *http.Request, int64) { adopted = g.Notice().Limited }}, always(true))
		h := head("5")
		h.Notice = &wire.ServerNotice{Id: "i-1", BornMs: testStartedMs, Limited: true, Limit: limit}
		if g.Do(t.Context(), h, nil); adopted {
			t.Errorf("limit %v adopted", limit)
		}
	}
	for _, ms := range []int64{-1, math.MinInt64, math.MaxInt64} {
		g := newGate(t, &backend{}, always(true))
		h := head("5")
		h.Notice = &wire.ServerNotice{Id: "i-1", BornMs: testStartedMs, Leaving: true, LeavingMs: ms}
		g.Do(t.Context(), h, nil)
		if s := g.Server(); s.Ready || s.leavingSince.After(time.Now()) {
			t.Errorf("after %d ms: ready %v, leaving since %v", ms, s.Ready, s.leavingSince)
		}
	}
}

// TestDeregistrationKeepsDrainPeriod guards against a drain period that begins again when a
// server that leaves deregisters.
func TestDeregistrationKeepsDrainPeriod(t *testing.T) {
	b := &backend{}
	g := newGate(t, b, always(true))
	g.SetServer(testServer(false), time.Now())
	time.Sleep(leavingAcceptPeriod + 20*time.Millisecond)
	g.MarkLeaving(testServer(true).Instance, time.Now())
	g.Do(t.Context(), head("5"), nil)
	if n := b.calls.Load(); n != 0 {
		t.Errorf("%d requests reached the server", n)
	}
}
