package claim

import (
	"encoding/json"
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// state is the state of a claim.
type state string

const (
	// stateHeld: the holder of the claim may run the request.
	stateHeld state = "held"
	// stateCompleted: the request completed.
	stateCompleted state = "completed"
	// stateUnknown: the request was dispatched and its result is unknown.
	stateUnknown state = "unknown"
)

// record is the content of a claim's row.
type record struct {
	State       state         `json:"state"`
	Token       token         `json:"token"`
	Host        ident.Host    `json:"host"`
	Incarnation uint64        `json:"incarnation"`
	Request     ident.Request `json:"request"`
	Digest      Digest        `json:"digest"`
	// At is when the key was claimed, according to the holder's clock.
	At time.Time `json:"at,omitzero"`
	// Response is the object name of the stored response, or empty if none is stored.
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
