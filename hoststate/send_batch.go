package hoststate

import (
	"net"
	"net/netip"

	"golang.org/x/net/ipv4"
)

// sendBatch sends the same datagram to several hosts with few system calls. It is not safe for
// concurrent use.
type sendBatch struct {
	members  []Member
	messages []ipv4.Message
	// data is the buffer of all messages.
	data [][]byte
}

// newSendBatch returns a batch to those of the members that have an address.
func newSendBatch(members []Member) *sendBatch {
	b := &sendBatch{data: make([][]byte, 1)}
	for _, m := range members {
		address, err := netip.ParseAddrPort(m.Address)
		if err != nil {
			continue
		}
		b.members = append(b.members, m)
		b.messages = append(b.messages, ipv4.Message{Buffers: b.data, Addr: net.UDPAddrFromAddrPort(address)})
	}
	return b
}

// send sends the datagram to each host. It calls failed for those to which that was not
// possible.
func (b *sendBatch) send(conn *ipv4.PacketConn, data []byte, failed func(m Member, err error)) {
	b.data[0] = data
	for sent := 0; sent < len(b.messages); {
		n, err := conn.WriteBatch(b.messages[sent:], 0)
		sent += max(n, 0)
		if err != nil && sent < len(b.messages) {
			failed(b.members[sent], err)
			sent++
		}
	}
}
