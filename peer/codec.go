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

// Field numbers of the clock fields of Frame, which appendFrame encodes separately
// from the body.
const (
	fieldClockWall    protowire.Number = 1
	fieldClockLogical protowire.Number = 2
)

// appendFrame appends f to buffer as a length-prefixed message with the clock reading
// now. It does not modify f, so that one frame can be sent to several hosts.
func appendFrame(buffer []byte, f *peerpb.Frame, now timeline.Timestamp) ([]byte, error) {
	timestampSize := protowire.SizeTag(fieldClockWall) + protowire.SizeVarint(uint64(now.Wall)) +
		protowire.SizeTag(fieldClockLogical) + protowire.SizeVarint(uint64(now.Logical))
	size := timestampSize + proto.Size(f)
	if size > maxFrameBytes {
		return buffer, Error.New("frame of %d bytes is too large", size)
	}
	buffer = protowire.AppendVarint(buffer, uint64(size))
	buffer = protowire.AppendTag(buffer, fieldClockWall, protowire.VarintType)
	buffer = protowire.AppendVarint(buffer, uint64(now.Wall))
	buffer = protowire.AppendTag(buffer, fieldClockLogical, protowire.VarintType)
	buffer = protowire.AppendVarint(buffer, uint64(now.Logical))
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
