package fleet

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sort"

	"github.com/zeebo/errs"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/quarantine"
)

// ErrMalformed is the class of errors of a fleet document or change that cannot
// be used.
var ErrMalformed = errs.Class("malformed fleet document")

// DocumentKey is the key of the fleet document in messages between nodes, and in
// the first era of the platform's store.
const DocumentKey = "fleet/main"

// MaxKey is the highest key of a service that is divided by ordered keys.
const MaxKey = 65535

// Instance identifies one instance of a backend server. A backend server may
// restart with the same id, so the id alone does not identify the instance.
type Instance struct {
	ID string `json:"id"`
	// StartedMs is the start time of the instance in ms since the Unix epoch.
	StartedMs int64 `json:"born"`
}

// Server describes a backend server.
type Server struct {
	Instance
	Service string `json:"service"`
	Slots   int    `json:"slots"`
	// Ready is false once the backend server is leaving.
	Ready bool `json:"ready"`
}

// Member is one node of the fleet.
type Member struct {
	cluster.MemberRef
	Addr string `json:"addr"`
	Zone string `json:"zone"`
	// Generation counts how often this incarnation gave up all its rows. Grants
	// are valid for one incarnation and generation only. It is stored, sent and
	// logged under the name tenure.
	Generation uint64 `json:"tenure,omitempty"`
	// Server is the backend server of the node, nil if none is known.
	Server *Server `json:"server,omitempty"`
	// Evicted is set while the fleet waits for the node's lease to run out.
	Evicted bool `json:"evicted,omitempty"`
	// Leaving is set once the node has begun a planned stop.
	Leaving bool `json:"leaving,omitempty"`
	// Weight is the capacity of the node's VM relative to the other members.
	Weight float64 `json:"weight,omitempty"`
	// OperatorAddr is the IP:port of the node's endpoint for operators.
	OperatorAddr string `json:"operator,omitempty"`
}

// usable reports whether rows may be assigned to the member.
func (m *Member) usable(service string) bool {
	return m != nil && !m.Evicted && m.Server != nil && m.Server.Ready && m.Server.Service == service
}

// Row states which member owns a range of keys. From and To are inclusive.
type Row struct {
	From, To int
	// Epoch increases with each change of the owner; the counter is shared by
	// all rows.
	Epoch uint64
	// Owner is the name of the member that may grant the row, empty if none.
	Owner string
	// Next is the member that the row is assigned to once the owner has
	// released it.
	Next string
	// Token proves the previous owner's release to the next backend server;
	// empty if there was no hand-over.
	Token string
}

// Table holds the rows of one service, sorted and without gaps.
type Table []Row

// Locate returns the index of the row that contains a key, or -1.
func (t Table) Locate(key int) int {
	i := sort.Search(len(t), func(i int) bool { return t[i].To >= key })
	if i == len(t) || t[i].From > key {
		return -1
	}
	return i
}

// split returns the table with a row that starts at the key.
func (t Table) split(key int) Table {
	i := t.Locate(key)
	if i < 0 || t[i].From == key {
		return t
	}
	t = slices.Insert(t, i+1, t[i])
	t[i].To = key - 1
	t[i+1].From = key
	return t
}

// Document is the state of the fleet as stored in the platform. A document is
// immutable once it has been published.
type Document struct {
	// Term increases by one with each claim of the leadership.
	Term   uint64
	Leader cluster.MemberRef
	// Resigned is set by a leader that renews no lease after this version.
	Resigned bool
	// Successor is the member that a leader transfers the leadership to when it
	// resigns.
	Successor string
	// EarlierLeasesExpired is set once every lease that a leader of an earlier term can have
	// renewed has run out.
	EarlierLeasesExpired bool
	// Recovered is set in the first document of an era of the store, until its
	// rows are known to be current; see era.go.
	Recovered bool
	Members   map[string]*Member
	Tables    map[string]Table
	LastEpoch uint64
	// Suspects holds requests under which backend servers have ended, so that this is
	// known after a loss of all nodes.
	Suspects []quarantine.Entry
	// Evacuations holds the zones under evacuation, sorted.
	Evacuations []string
	// ChangeID identifies the write that made this version.
	ChangeID string
}

// clone returns a deep copy.
func (d *Document) clone() *Document {
	out := *d
	out.Members = make(map[string]*Member, len(d.Members))
	for name, m := range d.Members {
		c := *m
		if m.Server != nil {
			s := *m.Server
			c.Server = &s
		}
		out.Members[name] = &c
	}
	out.Tables = make(map[string]Table, len(d.Tables))
	for name, t := range d.Tables {
		out.Tables[name] = slices.Clone(t)
	}
	return &out
}

// share returns a copy that shares members and rows with the document. They must be
// replaced, not changed: a document is immutable once it has been published.
func (d *Document) share() *Document {
	out := *d
	out.Members = maps.Clone(d.Members)
	out.Tables = maps.Clone(d.Tables)
	return &out
}

// names returns the members' names, sorted.
func (d *Document) names() []string {
	out := make([]string, 0, len(d.Members))
	for name := range d.Members {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// services returns the names of the services that have a table, sorted.
func (d *Document) services() []string {
	out := make([]string, 0, len(d.Tables))
	for name := range d.Tables {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// IsCurrent reports whether the reference names the member's current
// incarnation.
func (d *Document) IsCurrent(ref cluster.MemberRef) bool {
	m := d.Members[ref.Name]
	return m != nil && m.MemberRef == ref
}

// storedDocument is the stored form. Rows refer to members by index, so that a
// thousand rows take about 25 KB.
type storedDocument struct {
	Term      uint64                 `json:"term"`
	Leader    cluster.MemberRef      `json:"leader"`
	Resigned  bool                   `json:"resigned,omitempty"`
	Heir      string                 `json:"heir,omitempty"`
	Settled   bool                   `json:"settled,omitempty"`
	Recovered bool                   `json:"recovered,omitempty"`
	Members   []*Member              `json:"members"`
	Tables    map[string][]storedRow `json:"tables"`
	LastEpoch uint64                 `json:"last_epoch"`
	Suspects  []quarantine.Entry     `json:"suspects,omitempty"`
	Evacuated []string               `json:"evacuations,omitempty"`
	ChangeID  string                 `json:"change_id"`
}

// storedRow is [from, to, epoch, owner, next, token]; an empty token is
// omitted.
type storedRow []any

// rowFields is the number of fields of a stored row with a token.
const rowFields = 6

// noMember is the index for a row without an owner or next owner.
const noMember = -1

// Encode returns the stored form.
func (d *Document) Encode() []byte {
	out := storedDocument{
		Term: d.Term, Leader: d.Leader, Resigned: d.Resigned, Heir: d.Successor, Settled: d.EarlierLeasesExpired,
		Recovered: d.Recovered, LastEpoch: d.LastEpoch, ChangeID: d.ChangeID, Suspects: d.Suspects,
		Evacuated: d.Evacuations,
		Tables:    map[string][]storedRow{},
	}
	index := map[string]int{"": noMember}
	for i, name := range d.names() {
		index[name] = i
		out.Members = append(out.Members, d.Members[name])
	}
	for name, t := range d.Tables {
		rows := make([]storedRow, len(t))
		for i, r := range t {
			rows[i] = storedRow{r.From, r.To, r.Epoch, index[r.Owner], index[r.Next], r.Token}
			if r.Token == "" {
				rows[i] = rows[i][:5]
			}
		}
		out.Tables[name] = rows
	}
	return cluster.Encode(out)
}

// ChangeIDOf returns the change id of a stored document, empty if it cannot be
// decoded.
func ChangeIDOf(value []byte) string {
	var head struct {
		ChangeID string `json:"change_id"`
	}
	if json.Unmarshal(value, &head) != nil {
		return ""
	}
	return head.ChangeID
}

// Decode decodes and validates the stored form.
func Decode(value []byte) (*Document, error) {
	var in struct {
		storedDocument
		Tables map[string][]decodedRow `json:"tables"`
	}
	if err := json.Unmarshal(value, &in); err != nil {
		return nil, ErrMalformed.Wrap(err)
	}
	d := &Document{
		Term: in.Term, Leader: in.Leader, Resigned: in.Resigned, Successor: in.Heir, EarlierLeasesExpired: in.Settled,
		Recovered: in.Recovered, LastEpoch: in.LastEpoch, ChangeID: in.ChangeID, Suspects: in.Suspects,
		Evacuations: in.Evacuated,
		Members:     make(map[string]*Member, len(in.Members)), Tables: make(map[string]Table, len(in.Tables)),
	}
	if err := checkEvacuations(d.Evacuations); err != nil {
		return nil, err
	}
	names := make([]string, len(in.Members))
	for i, m := range in.Members {
		if m == nil || m.Name == "" {
			return nil, ErrMalformed.New("member %d has no name", i)
		}
		names[i] = m.Name
		d.Members[m.Name] = m
	}
	for service, rows := range in.Tables {
		t, err := decodeTable(rows, names)
		if err != nil {
			return nil, ErrMalformed.New("table of %s: %v", service, err)
		}
		d.Tables[service] = t
	}
	return d, nil
}

// decodedRow is a row whose owners are still member indexes.
type decodedRow struct {
	row         Row
	owner, next int
}

// UnmarshalJSON decodes [from, to, epoch, owner, next, token].
func (r *decodedRow) UnmarshalJSON(b []byte) error {
	fields := []any{&r.row.From, &r.row.To, &r.row.Epoch, &r.owner, &r.next, &r.row.Token}
	if err := json.Unmarshal(b, &fields); err != nil {
		return err
	}
	if len(fields) < rowFields-1 || len(fields) > rowFields {
		return ErrMalformed.New("row of %d fields", len(fields))
	}
	return nil
}

func decodeTable(rows []decodedRow, names []string) (Table, error) {
	memberName := func(i int) (string, error) {
		if i == noMember {
			return "", nil
		}
		if i < 0 || i >= len(names) {
			return "", fmt.Errorf("member index %d is out of range", i)
		}
		return names[i], nil
	}
	t := make(Table, len(rows))
	next := 0
	for i, in := range rows {
		t[i] = in.row
		if t[i].From != next || t[i].To < t[i].From {
			return nil, fmt.Errorf("row %d does not follow the one before it", i)
		}
		next = t[i].To + 1
		var err error
		if t[i].Owner, err = memberName(in.owner); err != nil {
			return nil, err
		}
		if t[i].Next, err = memberName(in.next); err != nil {
			return nil, err
		}
	}
	if next != MaxKey+1 {
		return nil, fmt.Errorf("the rows end at key %d", next-1)
	}
	return t, nil
}
