// Package runlog is the record that a backend server stand-in keeps of every
// run, one JSON object a line, and its reader. Tests judge by these records.
package runlog

import (
	"bufio"
	"encoding/json"
	"os"
	"sync"
)

// Event says what a record is about.
type Event string

// The events of a record.
const (
	// Start is written right before a request runs.
	Start Event = "start"
	// End is written once the request has run, or was stopped.
	End Event = "end"
	// Refused is written for a request of which nothing ran.
	Refused Event = "refused"
)

// Outcome says how a run ended, or why nothing ran.
type Outcome string

// The outcomes of a run, then the reasons of a refusal.
const (
	Done      Outcome = "done"
	Cancelled Outcome = "cancelled"
	Deadline  Outcome = "deadline"

	Stale    Outcome = "stale"
	Shed     Outcome = "shed"
	Leaving  Outcome = "leaving"
	Expired  Outcome = "expired"
	BadInput Outcome = "bad-input"
)

// Record is one line. At is the wall time in nanoseconds since the Unix epoch;
// all stand-ins of a test run on one machine and share that clock.
type Record struct {
	Event  Event  `json:"event"`
	At     int64  `json:"at"`
	Server string `json:"server"`
	// Run numbers the runs of one server; it joins Start and End.
	Run       uint64 `json:"run"`
	RequestID string `json:"request_id,omitempty"`
	// ClientID is the id that the load generator gave the request.
	ClientID string `json:"client_id,omitempty"`
	// Attempt is the id of one sending of the request; a retry has another.
	Attempt        string `json:"attempt,omitempty"`
	Method         string `json:"method,omitempty"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	Customer       string `json:"customer,omitempty"`
	Key            string `json:"key,omitempty"`
	Unit           string `json:"unit,omitempty"`
	Epoch          uint64 `json:"epoch,omitempty"`
	// LeaseUntil is the boot-time clock reading in nanoseconds.
	LeaseUntil int64 `json:"lease_until,omitempty"`
	// DeadlineAt is the wall time at which the run must stop; 0 for none.
	DeadlineAt int64   `json:"deadline_at,omitempty"`
	Outcome    Outcome `json:"outcome,omitempty"`
}

// Writer appends records to a file. Each record is one write, so that a killed
// process loses none that it had made. A nil Writer drops all records.
type Writer struct {
	mu   sync.Mutex
	file *os.File
}

// Create opens the file for appending.
func Create(path string) (*Writer, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	return &Writer{file: f}, nil
}

// Append writes one record.
func (w *Writer) Append(r Record) error {
	if w == nil {
		return nil
	}
	line, err := json.Marshal(r)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	_, err = w.file.Write(append(line, '\n'))
	return err
}

// Read returns all whole records of a file. A last line without its end is
// left out: its server was killed while it wrote.
func Read(path string) ([]Record, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var records []Record
	r := bufio.NewReader(f)
	for {
		line, err := r.ReadBytes('\n')
		if err != nil {
			return records, nil
		}
		var rec Record
		if err := json.Unmarshal(line, &rec); err != nil {
			return records, err
		}
		records = append(records, rec)
	}
}
