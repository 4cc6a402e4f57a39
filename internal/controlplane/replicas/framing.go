package replicas

import (
	"encoding/binary"
	"errors"
	"fmt"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Each message is preceded by its length in bytes, as a big-endian integer of 4 bytes.
const frameHeaderLength = 4

var (
	errTruncatedMessage = errors.New("a message is truncated")
	errWrongSender      = errors.New("a message is another disk's")
)

// appendMessage appends a framed message to a body. On error it returns the body unchanged.
func appendMessage(body []byte, m *pb.Message) ([]byte, error) {
	start := len(body)
	out, err := proto.MarshalOptions{}.MarshalAppend(append(body, make([]byte, frameHeaderLength)...), m)
	if err != nil {
		return body, err
	}
	binary.BigEndian.PutUint32(out[start:], uint32(len(out)-start-frameHeaderLength))
	return out, nil
}

// decodeMessages decodes a body of framed messages. It returns an error if a message was not sent by
// the given disk.
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
			return nil, fmt.Errorf("%w: of disk %x from disk %x", errWrongSender, m.GetFrom(), disk)
		}
		messages = append(messages, m)
		body = body[length:]
	}
	return messages, nil
}
