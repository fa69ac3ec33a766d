package fleet

import (
	"slices"

	"fulmarhinge/internal/evacuation"
	"fulmarhinge/internal/wire"
)

// EvacuationsListed is a complete list of the evacuations in the store. Only the leader
// uses it.
type EvacuationsListed struct{ evacuation.Listing }

func (EvacuationsListed) event() {}

// IsEvacuated reports whether a zone is under evacuation.
func (d *Document) IsEvacuated(zone string) bool { return evacuation.Contains(d.Evacuations, zone) }

// InService reports whether a member exists and its zone is not under evacuation.
func (d *Document) InService(mem *Member) bool { return mem != nil && !d.IsEvacuated(mem.Zone) }

// handleEvacuationsListed records the evacuations. A list that was requested before this
// term may be older than the document.
func (m *Machine) handleEvacuationsListed(e EvacuationsListed) {
	if m.leadership == nil {
		return
	}
	m.observeEra(e.Era)
	m.leadership.evacuations.Record(e.Listing, m.leadership.claimedAt, m.era)
}

// applyEvacuations updates the zones under evacuation.
func (p *planner) applyEvacuations() {
	m := p.machine
	next := m.leadership.evacuations.Next(p.doc.Evacuations, m.era, m.eraKnownAt)
	if !slices.Equal(next, p.doc.Evacuations) {
		p.doc.Evacuations = next
		p.changed = true
	}
}

// planEvacuations returns the next document with no other change than that of the zones
// under evacuation, or nil. It changes no owner, so a leader may write it that must not
// change owners yet.
func (m *Machine) planEvacuations() *Document {
	p := &planner{doc: m.doc.clone(), machine: m}
	p.applyEvacuations()
	return p.result()
}

// noteEvacuations notes the zones that a new document evacuates or takes back.
func (m *Machine) noteEvacuations(from, to *Document) {
	var before []string
	if from != nil {
		before = from.Evacuations
	}
	evacuated, returned := evacuation.Changes(before, to.Evacuations)
	for _, zone := range evacuated {
		m.note("zone evacuated", "zone", zone, "own", zone == m.params.Zone)
	}
	for _, zone := range returned {
		m.note("zone back in service", "zone", zone, "own", zone == m.params.Zone)
	}
}

// diffEvacuations returns the zones under evacuation if they differ, else nil.
func diffEvacuations(from, to *Document) *wire.Evacuations {
	if slices.Equal(from.Evacuations, to.Evacuations) {
		return nil
	}
	return &wire.Evacuations{Zones: to.Evacuations}
}

// checkEvacuations reports why the zones of a document or change cannot be used.
func checkEvacuations(zones []string) error {
	if !slices.Equal(zones, evacuation.Normalize(zones)) {
		return ErrMalformed.New("%d zones under evacuation are not sorted, repeat or have no name", len(zones))
	}
	return nil
}
