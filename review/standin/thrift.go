//go:build review

package main

import (
	"encoding/binary"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"time"
)

func appendText(b []byte, s string) []byte {
	return append(binary.BigEndian.AppendUint32(b, uint32(len(s))), s...)
}

func frame(message []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(message))), message...)
}

// submitFrame returns the call submit with the given fields, as alternating names and values, and an empty body.
func submitFrame(seq int32, fields ...string) []byte {
	b := binary.BigEndian.AppendUint32(nil, 0x80010001)
	b = appendText(b, "submit")
	b = binary.BigEndian.AppendUint32(b, uint32(seq))
	b = append(b, 13, 0, 1, 11, 11)
	b = binary.BigEndian.AppendUint32(b, uint32(len(fields)/2))
	for _, f := range fields {
		b = appendText(b, f)
	}
	b = append(b, 11, 0, 2)
	return frame(append(appendText(b, ""), 0))
}

// revokeFrame returns the oneway call revoke of the request with the given number.
func revokeFrame(seq, of int32) []byte {
	b := binary.BigEndian.AppendUint32(nil, 0x80010004)
	b = appendText(b, "revoke")
	b = binary.BigEndian.AppendUint32(b, uint32(seq))
	b = append(b, 8, 0, 1)
	b = binary.BigEndian.AppendUint32(b, uint32(of))
	return frame(append(b, 0))
}

func heartbeatFrame(seq int32) []byte {
	b := binary.BigEndian.AppendUint32(nil, 0x80010001)
	b = appendText(b, "heartbeat")
	b = binary.BigEndian.AppendUint32(b, uint32(seq))
	return frame(append(b, 2, 0, 1, 1, 0))
}

// answerHead is what an answer's first bytes tell: its number, and whether it is served, refused or failed.
type answerHead struct {
	seq  int32
	word string
}

var errShort = errors.New("the answer is too short")

// parseAnswer reads the head of an answer's frame.
func parseAnswer(b []byte) (answerHead, error) {
	if len(b) < 12 {
		return answerHead{}, errShort
	}
	kind := b[3]
	after := 8 + int(binary.BigEndian.Uint32(b[4:]))
	if len(b) < after+7 {
		return answerHead{}, errShort
	}
	head := answerHead{seq: int32(binary.BigEndian.Uint32(b[after:]))}
	field := binary.BigEndian.Uint16(b[after+5:])
	switch {
	case kind != 2 || field == 2:
		head.word = "failed"
	case field == 1:
		head.word = "refused"
	default:
		head.word = "served"
	}
	return head, nil
}

// awaitReady waits until a director answers a heartbeat with good set to true.
func awaitReady(args []string) error {
	set := flag.NewFlagSet("ready", flag.ExitOnError)
	director := set.String("director", "", "address")
	within := set.Duration("within", 15*time.Second, "how long to wait")
	if err := set.Parse(args); err != nil {
		return err
	}
	for end := time.Now().Add(*within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if isReady(*director) {
			return nil
		}
	}
	return fmt.Errorf("the director at %s is not ready within %v", *director, *within)
}

func isReady(director string) bool {
	c, err := net.DialTimeout("tcp", director, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	if _, err := c.Write(heartbeatFrame(1)); err != nil {
		return false
	}
	head := make([]byte, 4)
	if _, err := io.ReadFull(c, head); err != nil {
		return false
	}
	b := make([]byte, binary.BigEndian.Uint32(head))
	if _, err := io.ReadFull(c, b); err != nil {
		return false
	}
	for i := 0; i+4 <= len(b); i++ { // the field good: a bool with the number 3
		if b[i] == 2 && b[i+1] == 0 && b[i+2] == 3 {
			return b[i+3] == 1
		}
	}
	return false
}
