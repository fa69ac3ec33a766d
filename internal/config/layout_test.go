package config

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/platform"
)

func TestDecodeHeadRejectsMalformedHeads(t *testing.T) {
	cases := []struct{ name, value string }{
		{"empty", ``},
		{"no revision", `{"change_id":"x"}`},
		{"no change id", `{"revision":1}`},
		{"part key without the prefix", `{"revision":1,"change_id":"x","parts":{"routing":"members/a"}}`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if _, err := DecodeHead([]byte(c.value)); !ErrCorrupt.Has(err) {
				t.Errorf("error %v, expected corrupt", err)
			}
		})
	}
	if _, err := DecodeHead([]byte(`{"revision":1,"change_id":"x","of_a_newer_release":true}`)); err != nil {
		t.Errorf("an unknown field must be ignored: %v", err)
	}
}

func TestAssembleRequiresAllParts(t *testing.T) {
	m := platform.NewMemory()
	e := newFastEditor(m)
	mustApply(t, e, All(Services.Set(0, Service{Name: "arquivo"}), Contracts.Set(0, contractOf("c", 1))))
	s := mustLoad(t, e)
	key := s.Head.Parts[ContractPart("c")]
	get := func(k string) ([]byte, bool) {
		o, err := m.Get(t.Context(), k)
		return o.Value, err == nil
	}
	a := NewAssembler()
	cfg, missing, err := a.Assemble(s.Head, func(k string) ([]byte, bool) {
		if k == key {
			return nil, false
		}
		return get(k)
	})
	if cfg != nil || err != nil || !reflect.DeepEqual(missing, []string{key}) {
		t.Fatalf("got %v, %v, %v", cfg, missing, err)
	}
	reads := 0
	cfg, missing, err = a.Assemble(s.Head, func(k string) ([]byte, bool) { reads++; return get(k) })
	if err != nil || missing != nil || !reflect.DeepEqual(cfg, s.Config) {
		t.Fatalf("got %+v, %v, %v, expected %+v", cfg, missing, err, s.Config)
	}
	if reads != 1 {
		t.Errorf("%d parts were read, expected only the missing one", reads)
	}
	if _, _, err := Assemble(s.Head, func(string) ([]byte, bool) { return []byte("{"), true }); !ErrCorrupt.Has(err) {
		t.Errorf("error %v, expected corrupt", err)
	}
}

func TestHeadSizeStaysSmall(t *testing.T) {
	m := platform.NewMemory()
	e := newFastEditor(m)
	// Enough contracts for every bucket, then enough changes to fill the head's
	// lists of recent changes and superseded parts.
	var edits []Edit
	for i := range 400 {
		edits = append(edits, Contracts.Set(0, contractOf(fmt.Sprintf("customer-%d", i), 1)))
	}
	mustApply(t, e, All(edits...))
	for i := range 2 * supersededRetentionRevisions {
		mustApply(t, e, Contracts.Set(0, contractOf(fmt.Sprintf("later-%d", i), 1)))
	}
	o, err := m.Get(t.Context(), cluster.ConfigHeadKey)
	if err != nil {
		t.Fatal(err)
	}
	if n := len(mustLoad(t, e).Head.Parts); n != ContractBuckets {
		t.Fatalf("%d parts, expected each of %d buckets", n, ContractBuckets)
	}
	t.Logf("head of %d parts: %d bytes", len(mustLoad(t, e).Head.Parts), len(o.Value))
	if limit := 16 << 10; len(o.Value) > limit {
		t.Errorf("size of the head is %d bytes, expected at most %d", len(o.Value), limit)
	}
}

func TestPartAbovePlatformSizeLimitIsInvalid(t *testing.T) {
	m := platform.NewMemory()
	e := newFastEditor(m)
	// Customers with long names, so that few contracts exceed the size limit of
	// a part.
	var edits []Edit
	for i, size := 0, 0; size <= platform.MaxValueBytes; i++ {
		ct := contractOf(fmt.Sprintf("%0128d", i), 1)
		if ContractPart(ct.Customer) == "contracts-00" {
			edits = append(edits, Contracts.Set(0, ct))
			size += len(cluster.Encode(ct))
		}
	}
	_, err := e.Apply(t.Context(), AnyRevision, All(edits...))
	if !ErrInvalid.Has(err) || !strings.Contains(err.Error(), "part contracts-00") {
		t.Fatalf("error %v, expected an invalid part", err)
	}
	if n := countPartObjects(t, m); n != 0 {
		t.Errorf("%d parts were written", n)
	}
	mustApply(t, e, All(edits[:len(edits)/2]...))
}
