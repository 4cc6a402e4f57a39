package replicas

import (
	"encoding/binary"
	"errors"
	"fmt"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Messages are framed by their length in bytes, as a big-endian number of 4 bytes.
const frameHeaderLength = 4

var (
	errTruncatedMessage = errors.New("a message is truncated")
	errOtherSender      = errors.New("a message is another disk's")
)

// appendMessage appends a framed message to a body. After an error the body is as it was.
func appendMessage(body []byte, m *pb.Message) ([]byte, error) {
	start := len(body)
	out, err := proto.MarshalOptions{}.MarshalAppend(append(body, make([]byte, frameHeaderLength)...), m)
	if err != nil {
		return body, err
	}
	binary.BigEndian.PutUint32(out[start:], uint32(len(out)-start-frameHeaderLength))
	return out, nil
}

// decodeMessages reads the framed messages of a disk.
func decodeMessages(body []byte, disk uint64) (messages []*pb.Message, err error) {
	for len(body) > 0 {
		if len(body) < frameHeaderLength {
			return nil, errTruncatedMessage
		}
		length := int(binary.BigEndian.Uint32(body))
		body = body[frameHeaderLength:]
		if length > len(body) {
			return nil, errTruncatedMessage
		}
		m := &pb.Message{}
		if err := proto.Unmarshal(body[:length], m); err != nil {
			return nil, fmt.Errorf("decode message of disk %x: %w", disk, err)
		}
		if m.GetFrom() != disk {
			return nil, fmt.Errorf("%w: of disk %x from disk %x", errOtherSender, m.GetFrom(), disk)
		}
		messages = append(messages, m)
		body = body[length:]
	}
	return messages, nil
}
