package config

import (
	"fmt"
	"runtime"
	"testing"

	"fulmarhinge/internal/contract"
	"fulmarhinge/internal/platform"
)

// benchContracts is the number of contracts in the benchmarks.
const benchContracts = 20_000

// largeConfig stores a configuration with n contracts and returns the store and
// its editor.
func largeConfig(b *testing.B, n int) (*platform.Memory, *Editor) {
	b.Helper()
	m := platform.NewMemory()
	e := newFastEditor(m)
	edits := []Edit{Services.Set(0, Service{Name: "painel", DividedByKey: true, Shards: 16})}
	for i := range n {
		ct := contractOf(fmt.Sprintf("customer-%06d", i), 100)
		ct.Services = map[string]contract.Terms{"painel": terms(50)}
		edits = append(edits, Contracts.Set(0, ct))
	}
	if _, err := e.Apply(b.Context(), AnyRevision, All(edits...)); err != nil {
		b.Fatal(err)
	}
	return m, e
}

// BenchmarkChange measures an operator's change of one contract, with the
// platform calls that it takes.
func BenchmarkChange(b *testing.B) {
	m, _ := largeConfig(b, benchContracts)
	version := uint64(1)
	before := m.Counts()
	changes := 0
	for b.Loop() {
		ct := contractOf("customer-000001", float64(changes+1000))
		a, err := newFastEditor(m).Apply(b.Context(), AnyRevision, Contracts.Set(version, ct))
		if err != nil {
			b.Fatal(err)
		}
		version = a.Revision
		changes++
	}
	after := m.Counts()
	b.ReportMetric(float64(after.Get-before.Get)/float64(changes), "reads/change")
	b.ReportMetric(float64(after.Put+after.Delete-before.Put-before.Delete)/float64(changes), "writes/change")
}

// BenchmarkAssemble measures how long a node takes to assemble a configuration
// after a change of one contract and from scratch, and the memory per contract.
func BenchmarkAssemble(b *testing.B) {
	m, e := largeConfig(b, benchContracts)
	get := func(key string) ([]byte, bool) {
		o, err := m.Get(b.Context(), key)
		return o.Value, err == nil
	}
	s, err := e.Load(b.Context())
	if err != nil {
		b.Fatal(err)
	}
	a := NewAssembler()
	heap := liveHeap()
	cfg, _, err := a.Assemble(s.Head, get)
	if err != nil {
		b.Fatal(err)
	}
	perContract := float64(liveHeap()-heap) / benchContracts
	bucket := s.Head.Parts[ContractPart("customer-000001")]
	value, _ := get(bucket)
	b.Run("one bucket", func(b *testing.B) {
		for b.Loop() {
			delete(a.parts, bucket)
			if cfg, _, err = a.Assemble(s.Head, get); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(perContract, "heap-bytes/contract")
		b.ReportMetric(float64(len(value)), "bytes/bucket")
		b.ReportMetric(float64(len(cfg.Contracts)), "contracts")
	})
	b.Run("all buckets", func(b *testing.B) {
		for b.Loop() {
			if cfg, _, err = Assemble(s.Head, get); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// liveHeap returns the heap bytes in use after a garbage collection.
func liveHeap() uint64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}
