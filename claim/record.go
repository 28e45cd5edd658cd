package claim

import (
	"encoding/json"
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// state is how far a claimed request has come.
type state string

const (
	// stateHeld: the claimer may run the request.
	stateHeld state = "held"
	// stateCompleted: the request ran to its end.
	stateCompleted state = "completed"
	// stateUnknown: the request was dispatched and its result is not known.
	stateUnknown state = "unknown"
)

// record is the value of a claim's row.
type record struct {
	State       state         `json:"state"`
	Token       token         `json:"token"`
	Host        ident.Host    `json:"host"`
	Incarnation uint64        `json:"incarnation"`
	Request     ident.Request `json:"request"`
	Digest      Digest        `json:"digest"`
	// At is when the key was claimed, in the claimer's clock.
	At time.Time `json:"at,omitzero"`
	// Answer names the kept answer's object; it is empty if none was kept.
	Response string `json:"answer,omitempty"`
}

func (r *record) encode() ([]byte, error) {
	value, err := json.Marshal(r)
	return value, Error.Wrap(err)
}

func decodeRecord(value []byte) (*record, error) {
	r := new(record)
	if err := json.Unmarshal(value, r); err != nil {
		return nil, Error.Wrap(err)
	}
	return r, nil
}
