// Package thrift parses and encodes the messages exchanged with clients: Thrift's strict binary protocol in framed
// transport. It does no I/O. Parsed values are slices of the caller's buffer.
package thrift

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Limits of a message. The body of a request is smaller than that of an answer may be.
const (
	MaxFrame  = 64 << 10 // bytes
	MaxBody   = 48_000   // bytes in the body of a request
	maxName   = 64       // bytes in the name of a method or field
	maxFields = 64
	maxDepth  = 8 // levels of nesting
)

const (
	version1        = 0x80010000
	versionMask     = 0xffff0000
	frameHeaderSize = 4
)

// Message types.
const (
	messageCall      = 1
	messageReply     = 2
	messageException = 3
	messageOneway    = 4
)

// Wire types of values.
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

// The methods of the service. methodNames has their names on the wire.
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
	Name           []byte // the name of the method
	Oneway         bool   // the client expects no answer
	SequenceNumber int32
	Fields         []Field // of a Submit; the next Parse into the same Call overwrites them
	Body           []byte  // of a Submit
	CancelTarget   int32   // of a Cancel: the sequence number of the Submit to cancel
}

// Field returns the value of a field, or nil if the field is absent.
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
	// errTrailingBytes means that the length of the frame is wrong, so that a part of the next one was taken for its end.
	errTrailingBytes = errors.New("thrift: frame is longer than its message")
)

// Parse parses the message at the start of b into c and returns the number of bytes that it used. If the message is
// incomplete, used is 0 and need is the minimum length of b at which it can be complete.
func Parse(b []byte, c *Call) (used, need int, err error) {
	if len(b) < frameHeaderSize {
		return 0, frameHeaderSize, nil
	}
	size := binary.BigEndian.Uint32(b)
	if size > MaxFrame {
		return 0, 0, fmt.Errorf("thrift: frame of %d bytes, more than %d", size, MaxFrame)
	}
	end := frameHeaderSize + int(size)
	if len(b) < end {
		return 0, end, nil
	}
	r := reader{b: b[frameHeaderSize:end]}
	if err := r.readCall(c); err != nil {
		return 0, 0, err
	}
	if len(r.b) > 0 {
		return 0, 0, errTrailingBytes
	}
	return end, 0, nil
}

// reader reads values from the payload of one frame. b is the part that is not read yet.
type reader struct{ b []byte }

// readN returns the next n bytes.
func (r *reader) readN(n int) ([]byte, error) {
	if n < 0 || n > len(r.b) {
		return nil, errTruncated
	}
	v := r.b[:n:n]
	r.b = r.b[n:]
	return v, nil
}

func (r *reader) readByte() (byte, error) {
	v, err := r.readN(1)
	if err != nil {
		return 0, err
	}
	return v[0], nil
}

func (r *reader) readI32() (int32, error) {
	v, err := r.readN(4)
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
	return r.readN(int(n))
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

// readArgument reads an argument into the call, and reports whether it knows the argument. It reads nothing of others.
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

// readStruct calls readField for each field of a struct, and skips the fields that readField reports as unknown.
func (r *reader) readStruct(readField func(id int16, kind byte) (known bool, err error), depth int) error {
	for {
		kind, err := r.readByte()
		if err != nil || kind == typeStop {
			return err
		}
		id, err := r.readN(2)
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
	keyKind, valueKind, n, err := r.readMapHeader()
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

func (r *reader) readMapHeader() (key, value byte, n int32, err error) {
	kinds, err := r.readN(2)
	if err != nil {
		return 0, 0, 0, err
	}
	if n, err = r.readI32(); err == nil && n < 0 {
		err = errTruncated
	}
	return kinds[0], kinds[1], n, err
}

// fixedSizes has the encoded sizes, in bytes, of the types whose values all have the same size.
var fixedSizes = map[byte]int{typeBool: 1, typeByte: 1, typeDouble: 8, typeI16: 2, typeI32: 4, typeI64: 8}

// skip reads a value of any type and discards it. depth is its level of nesting.
func (r *reader) skip(kind byte, depth int) error {
	if depth > maxDepth {
		return errTooDeep
	}
	if n, ok := fixedSizes[kind]; ok {
		_, err := r.readN(n)
		return err
	}
	switch kind {
	case typeBinary:
		_, err := r.readBinary(MaxFrame)
		return err
	case typeStruct:
		return r.readStruct(func(int16, byte) (bool, error) { return false, nil }, depth)
	case typeMap:
		key, value, n, err := r.readMapHeader()
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

// skipItems skips n items that consist of one value of each given type.
func (r *reader) skipItems(n int32, depth int, kinds ...byte) error {
	if int(n) > len(r.b) { // an item takes at least 1 byte, so the length of the frame limits the work
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
