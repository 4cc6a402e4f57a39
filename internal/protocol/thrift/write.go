package thrift

import "encoding/binary"

// Field IDs of the result of submit, as the service declares them: the answer or one of its declared exceptions.
const (
	resultAnswer   = 0
	resultRejected = 1
	resultFailed   = 2
)

// Types of an application exception (TApplicationException).
const (
	UnknownMethod = 1
	InternalError = 6
	ProtocolError = 7
)

// Pair is one field of an answer.
type Pair struct{ Name, Value string }

// AppendAnswer encodes the answer to a call around a body of bodySize bytes, which it does not copy. It appends the bytes
// that precede the body to head and those that follow it to tail, and returns both. heartbeatOK is the result of a heartbeat.
func AppendAnswer(head, tail []byte, method Method, seq int32, bodySize int, heartbeatOK bool, fields ...Pair) (h, t []byte) {
	start := len(head)
	head = appendReply(head, messageReply, method, seq)
	head = appendField(head, typeStruct, resultAnswer)
	head = appendField(head, typeBinary, 1)
	head = binary.BigEndian.AppendUint32(head, uint32(bodySize))
	tailStart := len(tail)
	tail = appendFields(tail, 2, fields)
	tail = appendField(tail, typeBool, 3)
	if heartbeatOK {
		tail = append(tail, 1)
	} else {
		tail = append(tail, 0)
	}
	tail = append(tail, typeStop, typeStop)
	setFrame(head[start:], len(head)-start-frameHeaderSize+bodySize+len(tail)-tailStart)
	return head, tail
}

// AppendRejected appends the declared exception which tells the client that the request was not executed and may be retried.
func AppendRejected(b []byte, seq int32, fields ...Pair) []byte {
	return appendFailure(b, seq, resultRejected, fields)
}

// AppendFailed appends the declared exception which tells the client that the request may or may not have been executed.
func AppendFailed(b []byte, seq int32, fields ...Pair) []byte {
	return appendFailure(b, seq, resultFailed, fields)
}

func appendFailure(b []byte, seq int32, result uint16, fields []Pair) []byte {
	start := len(b)
	b = appendReply(b, messageReply, Submit, seq)
	b = appendField(b, typeStruct, result)
	b = appendFields(b, 1, fields)
	b = append(b, typeStop, typeStop)
	setFrame(b[start:], len(b)-start-frameHeaderSize)
	return b
}

// AppendException appends a Thrift application exception in reply to a call that can't be served. code is its type.
func AppendException(b []byte, name []byte, seq int32, code int32, text string) []byte {
	start := len(b)
	b = appendMessage(b, messageException, string(name), seq)
	b = appendField(b, typeBinary, 1)
	b = appendString(b, text)
	b = appendField(b, typeI32, 2)
	b = binary.BigEndian.AppendUint32(b, uint32(code))
	b = append(b, typeStop)
	setFrame(b[start:], len(b)-start-frameHeaderSize)
	return b
}

func appendReply(b []byte, kind byte, m Method, seq int32) []byte {
	return appendMessage(b, kind, methodNames[m], seq)
}

func appendMessage(b []byte, kind byte, name string, seq int32) []byte {
	b = append(b, 0, 0, 0, 0) // placeholder for the frame size, which setFrame fills in
	b = binary.BigEndian.AppendUint32(b, version1|uint32(kind))
	b = appendString(b, name)
	return binary.BigEndian.AppendUint32(b, uint32(seq))
}

func appendField(b []byte, kind byte, id uint16) []byte {
	return binary.BigEndian.AppendUint16(append(b, kind), id)
}

func appendString(b []byte, s string) []byte {
	return append(binary.BigEndian.AppendUint32(b, uint32(len(s))), s...)
}

func appendFields(b []byte, id uint16, fields []Pair) []byte {
	b = appendField(b, typeMap, id)
	b = append(b, typeBinary, typeBinary)
	b = binary.BigEndian.AppendUint32(b, uint32(len(fields)))
	for _, f := range fields {
		b = appendString(appendString(b, f.Name), f.Value)
	}
	return b
}

// setFrame stores the size of the frame, without its header, in the header.
func setFrame(b []byte, size int) { binary.BigEndian.PutUint32(b, uint32(size)) }
