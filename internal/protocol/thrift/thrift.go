// Package thrift reads and writes the clients' messages: Thrift's strict binary protocol in framed transport. It does
// no I/O; what it parses are slices of the caller's buffer.
package thrift

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Limits of what a client may send. An object's part may have 240,000 bytes, but one write carries 48,000 at most.
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
	typeCall      = 1
	typeReply     = 2
	typeException = 3
	typeOneway    = 4
)

// The wire types of values.
const (
	tStop   = 0
	tBool   = 2
	tByte   = 3
	tDouble = 4
	tI16    = 6
	tI32    = 8
	tI64    = 10
	tBinary = 11
	tStruct = 12
	tMap    = 13
	tSet    = 14
	tList   = 15
)

// Method is what a message calls.
type Method int

// The methods of the service.
const (
	Unknown Method = iota
	Submit
	Revoke
	Heartbeat
)

var methods = map[string]Method{"submit": Submit, "revoke": Revoke, "heartbeat": Heartbeat}

// Field is one entry of a map of strings.
type Field struct{ Name, Value []byte }

// Call is one parsed message.
type Call struct {
	Method Method
	Name   []byte
	Oneway bool
	Seq    int32
	Fields []Field // of submit; reused by the next Parse into the same Call
	Body   []byte  // of submit
	Target int32   // of revoke
}

// Field gives the value of a field, nil if absent.
func (c *Call) Field(name string) []byte {
	for _, f := range c.Fields {
		if string(f.Name) == name {
			return f.Value
		}
	}
	return nil
}

var (
	errShort = errors.New("thrift: message ends too soon")
	errDepth = errors.New("thrift: nested too deep")
)

// Parse reads one message from the start of b into c. used is 0 while it is not whole; then need tells how many
// bytes must be there before it can be.
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
	if err := r.call(c); err != nil {
		return 0, 0, err
	}
	return end, 0, nil
}

type reader struct{ b []byte }

func (r *reader) take(n int) ([]byte, error) {
	if n < 0 || n > len(r.b) {
		return nil, errShort
	}
	v := r.b[:n:n]
	r.b = r.b[n:]
	return v, nil
}

func (r *reader) u8() (byte, error) {
	v, err := r.take(1)
	if err != nil {
		return 0, err
	}
	return v[0], nil
}

func (r *reader) i32() (int32, error) {
	v, err := r.take(4)
	if err != nil {
		return 0, err
	}
	return int32(binary.BigEndian.Uint32(v)), nil
}

func (r *reader) binary(limit int) ([]byte, error) {
	n, err := r.i32()
	if err != nil {
		return nil, err
	}
	if n < 0 || int(n) > limit {
		return nil, fmt.Errorf("thrift: string of %d bytes, more than %d", n, limit)
	}
	return r.take(int(n))
}

func (r *reader) call(c *Call) error {
	head, err := r.i32()
	if err != nil {
		return err
	}
	kind := uint32(head) &^ versionMask
	if uint32(head)&versionMask != version1 || kind != typeCall && kind != typeOneway {
		return fmt.Errorf("thrift: not a call of the strict protocol: %08x", uint32(head))
	}
	if c.Name, err = r.binary(maxName); err != nil {
		return err
	}
	if c.Seq, err = r.i32(); err != nil {
		return err
	}
	c.Method, c.Oneway = methods[string(c.Name)], kind == typeOneway
	c.Fields, c.Body, c.Target = c.Fields[:0], nil, 0
	return r.structure(func(id int16, kind byte) (bool, error) {
		switch {
		case c.Method == Submit && id == 1 && kind == tMap:
			return true, r.fields(c)
		case c.Method == Submit && id == 2 && kind == tBinary:
			c.Body, err = r.binary(MaxBody)
			return true, err
		case c.Method == Revoke && id == 1 && kind == tI32:
			c.Target, err = r.i32()
			return true, err
		}
		return false, nil
	}, 0)
}

// structure walks a struct and skips each field that known does not read.
func (r *reader) structure(known func(id int16, kind byte) (bool, error), depth int) error {
	for {
		kind, err := r.u8()
		if err != nil || kind == tStop {
			return err
		}
		id, err := r.take(2)
		if err != nil {
			return err
		}
		read, err := known(int16(binary.BigEndian.Uint16(id)), kind)
		if err == nil && !read {
			err = r.skip(kind, depth+1)
		}
		if err != nil {
			return err
		}
	}
}

func (r *reader) fields(c *Call) error {
	keyKind, valueKind, n, err := r.mapHead()
	if err != nil || n == 0 {
		return err
	}
	if keyKind != tBinary || valueKind != tBinary || n > maxFields {
		return fmt.Errorf("thrift: fields are no map of up to %d strings", maxFields)
	}
	for range n {
		var f Field
		if f.Name, err = r.binary(maxName); err != nil {
			return err
		}
		if f.Value, err = r.binary(MaxFrame); err != nil {
			return err
		}
		c.Fields = append(c.Fields, f)
	}
	return nil
}

func (r *reader) mapHead() (key, value byte, n int32, err error) {
	kinds, err := r.take(2)
	if err != nil {
		return 0, 0, 0, err
	}
	if n, err = r.i32(); err == nil && n < 0 {
		err = errShort
	}
	return kinds[0], kinds[1], n, err
}

var fixedSizes = map[byte]int{tBool: 1, tByte: 1, tDouble: 8, tI16: 2, tI32: 4, tI64: 8}

func (r *reader) skip(kind byte, depth int) error {
	if depth > maxDepth {
		return errDepth
	}
	if n, ok := fixedSizes[kind]; ok {
		_, err := r.take(n)
		return err
	}
	switch kind {
	case tBinary:
		_, err := r.binary(MaxFrame)
		return err
	case tStruct:
		return r.structure(func(int16, byte) (bool, error) { return false, nil }, depth)
	case tMap:
		key, value, n, err := r.mapHead()
		if err != nil {
			return err
		}
		return r.skipMany(n, depth, key, value)
	case tSet, tList:
		item, err := r.u8()
		if err != nil {
			return err
		}
		n, err := r.i32()
		if err != nil {
			return err
		}
		return r.skipMany(n, depth, item)
	}
	return fmt.Errorf("thrift: unknown type %d", kind)
}

func (r *reader) skipMany(n int32, depth int, kinds ...byte) error {
	if int(n) > len(r.b) { // each item takes a byte at least, so the count bounds the work
		return errShort
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
