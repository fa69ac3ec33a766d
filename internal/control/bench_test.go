package control

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/placement"
	"fulmarhinge/internal/platform"
	"fulmarhinge/internal/wire"
)

// joinLargeFleet returns a machine that has joined a fleet of n members with
// 16 shards each, and the objects that it follows.
func joinLargeFleet(b *testing.B, n int) (*Machine, []platform.Object) {
	b.Helper()
	var objects []platform.Object
	var shards []cluster.Assignment
	for i := range n {
		mem := largeFleetMember(i, n)
		objects = append(objects, platform.Object{Key: cluster.MemberKey(mem.Name), Version: 1, Value: cluster.Encode(mem)})
		for range 16 {
			shards = append(shards, cluster.Assignment{Owner: mem.MemberRef, Epoch: 5})
		}
	}
	for g := 0; g*cluster.MaxShardsPerGroup < len(shards); g++ {
		part := shards[g*cluster.MaxShardsPerGroup : min(len(shards), (g+1)*cluster.MaxShardsPerGroup)]
		group := cluster.Group{Service: testService, First: g * cluster.MaxShardsPerGroup, Shards: part}
		objects = append(objects, platform.Object{Key: cluster.GroupKey(testService, g), Version: 1, Value: cluster.Encode(group)})
	}
	m := New(Params{
		Self:  largeFleetMember(0, n),
		Nonce: "p", Lease: testLease, WitnessCount: 5, StopTimeout: time.Minute,
	})
	join(m, objects)
	return m, objects
}

func largeFleetMember(i, n int) cluster.Member {
	name := func(j int) string { return fmt.Sprintf("node-%04d", (j+n)%n) }
	mem := cluster.Member{
		MemberRef: cluster.MemberRef{Name: name(i), Incarnation: 1},
		State:     cluster.StateActive,
		PeerAddr:  fmt.Sprintf("10.1.%d.%d:7000", i/200, i%200), CallerAddr: "10.1.1.1:80", OperatorAddr: "127.0.0.1:9000",
		Zone: fmt.Sprintf("z%d", i%4), Region: "r", BootID: "b",
		Backend: &cluster.BackendInfo{Service: testService, Slots: 20, Ready: true},
	}
	for k := 1; k <= 5; k++ {
		mem.Witnesses = append(mem.Witnesses, cluster.Witness{
			MemberRef: cluster.MemberRef{Name: name(i + k*7), Incarnation: 1}, PeerAddr: "10.1.1.1:7000",
		})
	}
	return mem
}

// join delivers the initial lists and answers the first writes.
func join(m *Machine, objects []platform.Object) {
	m.Step(1, Tick{})
	m.Step(1, Listed{Prefix: cluster.ConfigPrefix, Objects: testConfig(true)})
	m.Step(1, Listed{Prefix: cluster.PlacementPrefix})
	m.Step(1, Listed{Prefix: cluster.MemberPrefix, Objects: objects})
	for now := clock.Mono(2); m.phase != phaseJoined; now++ {
		m.Step(now, Tick{})
		for _, w := range m.Ready().Writes {
			m.Step(now, WriteDone{ID: w.ID, Outcome: Applied, Version: w.ExpectedVersion + 1})
		}
	}
}

// BenchmarkSecond measures the control work of one second in steady state: 20
// ticks, the node's own renewals and those of five other holders.
func BenchmarkSecond(b *testing.B) {
	for _, n := range []int{10, 100, 400, 1200} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			m, _ := joinLargeFleet(b, n)
			now := clock.Mono(time.Second)
			b.ResetTimer()
			for range b.N {
				for range 20 {
					now = now.Add(tickInterval)
					m.Step(now, Tick{})
					answerRenewals(m, now)
				}
			}
		})
	}
}

// answerRenewals answers each renewal as its witness and sends one as a
// holder.
func answerRenewals(m *Machine, now clock.Mono) {
	for _, o := range m.Ready().Messages {
		r := o.Body.GetRenew()
		if r == nil {
			continue
		}
		m.Step(now, Message{Body: &wire.Control{
			FromName: o.To.Name, FromIncarnation: o.To.Incarnation, ToIncarnation: m.self.Incarnation,
			Body: &wire.Control_Promise{Promise: &wire.Promise{Seq: r.Seq, Extended: true, Digest: m.digest}},
		}})
		m.Step(now, Message{Body: &wire.Control{
			FromName: o.To.Name, FromIncarnation: o.To.Incarnation, ToIncarnation: m.self.Incarnation,
			Body: &wire.Control_Renew{Renew: &wire.Renew{Seq: r.Seq, Heard: r.Seq, PromiseMs: 1500, Digest: m.digest}},
		}})
	}
	m.Ready()
}

// BenchmarkGroupChange measures handling one changed placement group,
// including building the view.
func BenchmarkGroupChange(b *testing.B) {
	for _, n := range []int{64, 400, 1200} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			m, objects := joinLargeFleet(b, n)
			group := objects[n]
			now := clock.Mono(time.Second)
			b.ResetTimer()
			for i := range b.N {
				group.Version = uint64(i + 2)
				m.Step(now, Observed{Objects: []platform.Object{group}})
				m.Ready()
			}
		})
	}
}

// BenchmarkPlanInput measures the work that the first controller adds to a
// tick.
func BenchmarkPlanInput(b *testing.B) {
	m, _ := joinLargeFleet(b, 1200)
	s := m.config.Services[testService]
	s.Shards = 1200 * 16
	b.ResetTimer()
	for range b.N {
		in := m.planInput(s)
		if hasForcedMoves(in) {
			_ = placement.Plan(in)
		}
	}
}

// BenchmarkState reports the memory of the control state and the published
// view, and the size of the stored objects.
func BenchmarkState(b *testing.B) {
	for _, n := range []int{100, 400, 1200} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			before := heapInUse()
			m, objects := joinLargeFleet(b, n)
			v := m.buildView()
			after := heapInUse()
			var member, group int
			for _, o := range objects {
				if cluster.IsMemberKey(o.Key) {
					member = max(member, len(o.Value))
				} else {
					group = max(group, len(o.Value))
				}
			}
			b.ReportMetric(float64(after-before)/1e6, "MB")
			b.ReportMetric(float64(member), "member-bytes")
			b.ReportMetric(float64(group), "group-bytes")
			runtime.KeepAlive(m)
			runtime.KeepAlive(v)
			for range b.N {
				_ = v
			}
		})
	}
}

func heapInUse() uint64 {
	var s runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}
