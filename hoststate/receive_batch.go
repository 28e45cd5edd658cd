package hoststate

import "golang.org/x/net/ipv4"

// maxReceiveBatch is the number of datagrams that are read with one system call.
const maxReceiveBatch = 16

// newReceiveBatch returns buffers for the datagrams of one system call.
func newReceiveBatch() []ipv4.Message {
	batch := make([]ipv4.Message, maxReceiveBatch)
	for i := range batch {
		batch[i].Buffers = [][]byte{make([]byte, maxDatagramBytes)}
	}
	return batch
}
