package hoststate

import (
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/cornelyard/cornelyard/ident"
)

// messageHead identifies a message of one host.
type messageHead struct {
	host        ident.Host
	incarnation uint64
	sequence    uint64
}

// The numbers of these fields in HostState.
const (
	hostField        = 1
	incarnationField = 2
	sequenceField    = 3
)

// readHead reads the head of a message without decoding the rest, and reports whether the
// message begins with it. Encoders write fields by ascending number, but need not.
func readHead(data []byte) (head messageHead, ok bool) {
	for range sequenceField {
		field, kind, n := protowire.ConsumeTag(data)
		if n < 0 {
			return head, false
		}
		data = data[n:]
		switch {
		case field == hostField && kind == protowire.BytesType:
			host, n := protowire.ConsumeBytes(data)
			if n < 0 {
				return head, false
			}
			head.host, data = ident.Host(host), data[n:]
		case (field == incarnationField || field == sequenceField) && kind == protowire.VarintType:
			value, n := protowire.ConsumeVarint(data)
			if n < 0 {
				return head, false
			}
			data = data[n:]
			if field == incarnationField {
				head.incarnation = value
			} else {
				head.sequence = value
			}
		default:
			return head, false
		}
	}
	return head, true
}
