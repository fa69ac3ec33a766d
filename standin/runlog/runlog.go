// Package runlog writes and reads the log in which a test backend server records
// every run, one JSON object per line. Tests verify the router by these records.
package runlog

import (
	"bufio"
	"encoding/json"
	"os"
	"sync"
)

// Event is the kind of a record.
type Event string

// The events of a record.
const (
	// Start is written immediately before a request runs.
	Start Event = "start"
	// End is written when the request has run to completion or was stopped.
	End Event = "end"
	// Refused is written for a request that did not run at all.
	Refused Event = "refused"
)

// Outcome is how a run ended, or why a request was refused.
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

// Record is one line of the log. At is the wall-clock time in nanoseconds since
// the Unix epoch; all processes of a test run on one machine and share that clock.
type Record struct {
	Event  Event  `json:"event"`
	At     int64  `json:"at"`
	Server string `json:"server"`
	// Run is the sequence number of a run on its server. The Start and End records
	// of a run have the same number.
	Run       uint64 `json:"run"`
	RequestID string `json:"request_id,omitempty"`
	// ClientID is the id that the load generator gave the request.
	ClientID string `json:"client_id,omitempty"`
	// Attempt is the id of one attempt of the request. Each retry has a new id.
	Attempt        string `json:"attempt,omitempty"`
	Method         string `json:"method,omitempty"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	Customer       string `json:"customer,omitempty"`
	Key            string `json:"key,omitempty"`
	Unit           string `json:"unit,omitempty"`
	Epoch          uint64 `json:"epoch,omitempty"`
	// LeaseUntil is the end of the lease on the boot-time clock, in nanoseconds.
	LeaseUntil int64 `json:"lease_until,omitempty"`
	// DeadlineAt is the wall-clock time in nanoseconds at which the run must stop;
	// 0 if there is no deadline.
	DeadlineAt int64   `json:"deadline_at,omitempty"`
	Outcome    Outcome `json:"outcome,omitempty"`
}

// Writer appends records to a file. Each record is one write call, so that a
// killed process loses no record that it has appended. A nil Writer discards all
// records.
type Writer struct {
	mu   sync.Mutex
	file *os.File
}

// Create opens the file for appending and creates it if it does not exist.
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

// Read returns all complete records of a file. It ignores a last line without a
// newline, which a server leaves behind if it is killed during a write.
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
