// Package thrift reads and writes the clients' messages: Thrift's strict binary protocol in framed transport. It does
// no I/O; what it parses are slices of the caller's buffer.
package thrift

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Limits of a message, in bytes and items. A request's body is smaller than an answer's may be.
const (
	MaxFrame  = 64 << 10
	MaxBody   = 48_000
	maxName   = 64
	maxFields = 64
	maxDepth  = 8
)

const (
	version1    = 0x80010000
	versionMask = 0xffff0000
	frameHead   = 4
)

// The kinds of message.
const (
	messageCall      = 1
	messageReply     = 2
	messageException = 3
	messageOneway    = 4
)

// The wire types of values.
const (
	typeStop   = 0
	typeBool   = 2
	typeByte   = 3
	typeDouble = 4
	typeI16    = 6
	typeI32    = 8
	typeI64    = 10
	typeBinary = 11
	typeStruct = 12
	typeMap    = 13
	typeSet    = 14
	typeList   = 15
)

// Method is a method of the service.
type Method int

// The methods of the service. Their names on the wire are those of methodNames.
const (
	Unknown Method = iota
	Submit
	Cancel
	Heartbeat
)

var methodNames = [...]string{
	Submit:    "submit",
	Cancel:    "revoke",
	Heartbeat: "heartbeat",
}

var methodByName = map[string]Method{
	methodNames[Submit]:    Submit,
	methodNames[Cancel]:    Cancel,
	methodNames[Heartbeat]: Heartbeat,
}

// Field is one entry of a map of strings.
type Field struct{ Name, Value []byte }

// Call is a parsed message. Its slices are parts of the buffer that was parsed.
type Call struct {
	Method         Method
	Name           []byte // of the method
	Oneway         bool   // no answer is expected
	SequenceNumber int32
	Fields         []Field // of Submit; reused by the next Parse into the same Call
	Body           []byte  // of Submit
	CancelTarget   int32   // of Cancel: the sequence number of a Submit
}

// Field is the value of a field, nil if it is absent.
func (c *Call) Field(name string) []byte {
	for _, f := range c.Fields {
		if string(f.Name) == name {
			return f.Value
		}
	}
	return nil
}

var (
	errTruncated = errors.New("thrift: truncated message")
	errTooDeep   = errors.New("thrift: nested too deeply")
)

// Parse reads one message from the start of b into c. used is 0 while the message is incomplete; then need is how many
// bytes must be there before it can be complete.
func Parse(b []byte, c *Call) (used, need int, err error) {
	if len(b) < frameHead {
		return 0, frameHead, nil
	}
	size := binary.BigEndian.Uint32(b)
	if size > MaxFrame {
		return 0, 0, fmt.Errorf("thrift: frame of %d bytes, more than %d", size, MaxFrame)
	}
	end := frameHead + int(size)
	if len(b) < end {
		return 0, end, nil
	}
	r := reader{b: b[frameHead:end]}
	if err := r.readCall(c); err != nil {
		return 0, 0, err
	}
	return end, 0, nil
}

type reader struct{ b []byte }

func (r *reader) take(n int) ([]byte, error) {
	if n < 0 || n > len(r.b) {
		return nil, errTruncated
	}
	v := r.b[:n:n]
	r.b = r.b[n:]
	return v, nil
}

func (r *reader) readByte() (byte, error) {
	v, err := r.take(1)
	if err != nil {
		return 0, err
	}
	return v[0], nil
}

func (r *reader) readI32() (int32, error) {
	v, err := r.take(4)
	if err != nil {
		return 0, err
	}
	return int32(binary.BigEndian.Uint32(v)), nil
}

func (r *reader) readBinary(limit int) ([]byte, error) {
	n, err := r.readI32()
	if err != nil {
		return nil, err
	}
	if n < 0 || int(n) > limit {
		return nil, fmt.Errorf("thrift: string of %d bytes, more than %d", n, limit)
	}
	return r.take(int(n))
}

func (r *reader) readCall(c *Call) error {
	head, err := r.readI32()
	if err != nil {
		return err
	}
	kind := uint32(head) &^ versionMask
	if uint32(head)&versionMask != version1 || kind != messageCall && kind != messageOneway {
		return fmt.Errorf("thrift: not a call of the strict protocol: %08x", uint32(head))
	}
	if c.Name, err = r.readBinary(maxName); err != nil {
		return err
	}
	if c.SequenceNumber, err = r.readI32(); err != nil {
		return err
	}
	c.Method = methodByName[string(c.Name)]
	c.Oneway = kind == messageOneway
	c.Fields = c.Fields[:0]
	c.Body = nil
	c.CancelTarget = 0
	return r.readStruct(func(id int16, kind byte) (bool, error) { return r.readArgument(c, id, kind) }, 0)
}

// readArgument reads an argument of the call, and reports whether it is known.
func (r *reader) readArgument(c *Call, id int16, kind byte) (known bool, err error) {
	switch {
	case c.Method == Submit && id == 1 && kind == typeMap:
		return true, r.readFields(c)
	case c.Method == Submit && id == 2 && kind == typeBinary:
		c.Body, err = r.readBinary(MaxBody)
		return true, err
	case c.Method == Cancel && id == 1 && kind == typeI32:
		c.CancelTarget, err = r.readI32()
		return true, err
	}
	return false, nil
}

// readStruct reads the fields of a struct, and skips those that readField does not know.
func (r *reader) readStruct(readField func(id int16, kind byte) (known bool, err error), depth int) error {
	for {
		kind, err := r.readByte()
		if err != nil || kind == typeStop {
			return err
		}
		id, err := r.take(2)
		if err != nil {
			return err
		}
		known, err := readField(int16(binary.BigEndian.Uint16(id)), kind)
		if err == nil && !known {
			err = r.skip(kind, depth+1)
		}
		if err != nil {
			return err
		}
	}
}

func (r *reader) readFields(c *Call) error {
	keyKind, valueKind, n, err := r.readMapHead()
	if err != nil || n == 0 {
		return err
	}
	if keyKind != typeBinary || valueKind != typeBinary || n > maxFields {
		return fmt.Errorf("thrift: the fields are no map of at most %d strings", maxFields)
	}
	for range n {
		var f Field
		if f.Name, err = r.readBinary(maxName); err != nil {
			return err
		}
		if f.Value, err = r.readBinary(MaxFrame); err != nil {
			return err
		}
		c.Fields = append(c.Fields, f)
	}
	return nil
}

func (r *reader) readMapHead() (key, value byte, n int32, err error) {
	kinds, err := r.take(2)
	if err != nil {
		return 0, 0, 0, err
	}
	if n, err = r.readI32(); err == nil && n < 0 {
		err = errTruncated
	}
	return kinds[0], kinds[1], n, err
}

var fixedSizes = map[byte]int{typeBool: 1, typeByte: 1, typeDouble: 8, typeI16: 2, typeI32: 4, typeI64: 8}

func (r *reader) skip(kind byte, depth int) error {
	if depth > maxDepth {
		return errTooDeep
	}
	if n, ok := fixedSizes[kind]; ok {
		_, err := r.take(n)
		return err
	}
	switch kind {
	case typeBinary:
		_, err := r.readBinary(MaxFrame)
		return err
	case typeStruct:
		return r.readStruct(func(int16, byte) (bool, error) { return false, nil }, depth)
	case typeMap:
		key, value, n, err := r.readMapHead()
		if err != nil {
			return err
		}
		return r.skipItems(n, depth, key, value)
	case typeSet, typeList:
		item, err := r.readByte()
		if err != nil {
			return err
		}
		n, err := r.readI32()
		if err != nil {
			return err
		}
		return r.skipItems(n, depth, item)
	}
	return fmt.Errorf("thrift: unknown type %d", kind)
}

func (r *reader) skipItems(n int32, depth int, kinds ...byte) error {
	if int(n) > len(r.b) { // each item has a byte at least, so the length bounds the work
		return errTruncated
	}
	for range n {
		for _, kind := range kinds {
			if err := r.skip(kind, depth+1); err != nil {
				return err
			}
		}
	}
	return nil
}
