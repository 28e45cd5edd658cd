package peer

import (
	"bufio"
	"io"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/cornelyard/cornelyard/internal/proto/peerpb"
	"github.com/cornelyard/cornelyard/timeline"
)

// Field numbers of the fields of Frame that appendFrame encodes separately from the body.
const (
	fieldClockWall    protowire.Number = 1
	fieldClockLogical protowire.Number = 2
	fieldNumber       protowire.Number = 19
)

// appendFrame appends f to buffer as a length-prefixed message with the clock reading now
// and its number. It does not modify f, so that one frame can be sent to several hosts. It
// returns errFrameTooLarge for a frame that no host would accept.
func appendFrame(buffer []byte, f *peerpb.Frame, now timeline.Timestamp, number uint64) ([]byte, error) {
	headerSize := protowire.SizeTag(fieldClockWall) + protowire.SizeVarint(uint64(now.Wall)) +
		protowire.SizeTag(fieldClockLogical) + protowire.SizeVarint(uint64(now.Logical)) +
		protowire.SizeTag(fieldNumber) + protowire.SizeVarint(number)
	size := headerSize + proto.Size(f)
	if size > maxFrameBytes {
		return buffer, errFrameTooLarge
	}
	buffer = protowire.AppendVarint(buffer, uint64(size))
	buffer = protowire.AppendTag(buffer, fieldClockWall, protowire.VarintType)
	buffer = protowire.AppendVarint(buffer, uint64(now.Wall))
	buffer = protowire.AppendTag(buffer, fieldClockLogical, protowire.VarintType)
	buffer = protowire.AppendVarint(buffer, uint64(now.Logical))
	buffer = protowire.AppendTag(buffer, fieldNumber, protowire.VarintType)
	buffer = protowire.AppendVarint(buffer, number)
	return proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(buffer, f)
}

// writeMessage writes one length-prefixed message.
func writeMessage(w io.Writer, m proto.Message) error {
	_, err := protodelim.MarshalTo(w, m)
	return Error.Wrap(err)
}

// readMessage reads one length-prefixed message of at most limit bytes.
func readMessage(r *bufio.Reader, limit int64, m proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: limit}.UnmarshalFrom(r, m)
}

// readFrame reads one frame. A body type that this version does not know is decoded as
// no body.
func readFrame(r *bufio.Reader) (*peerpb.Frame, error) {
	f := &peerpb.Frame{}
	if err := readMessage(r, maxFrameBytes, f); err != nil {
		return nil, err
	}
	return f, nil
}
