package thrift

import "encoding/binary"

// Outcome numbers of submit's result, as the service declares them.
const (
	resultAnswer  = 0
	resultRefused = 1
	resultFailed  = 2
)

// Codes of an application exception.
const (
	UnknownMethod = 1
	InternalError = 6
	ProtocolError = 7
)

// Pair is a field to write.
type Pair struct{ Name, Value string }

// AppendAnswer appends an Answer around a body that is not copied: head goes before the body and tail after it.
func AppendAnswer(head, tail []byte, method Method, seq int32, bodySize int, good bool, fields ...Pair) (h, t []byte) {
	start := len(head)
	head = appendReply(head, typeReply, method, seq)
	head = appendField(head, tStruct, resultAnswer)
	head = appendField(head, tBinary, 1)
	head = binary.BigEndian.AppendUint32(head, uint32(bodySize))
	tailStart := len(tail)
	tail = appendFields(tail, 2, fields)
	tail = appendField(tail, tBool, 3)
	if good {
		tail = append(tail, 1)
	} else {
		tail = append(tail, 0)
	}
	tail = append(tail, tStop, tStop)
	setFrame(head[start:], len(head)-start-frameHead+bodySize+len(tail)-tailStart)
	return head, tail
}

// AppendRefused appends the exception that says that trying again is harmless.
func AppendRefused(b []byte, seq int32, fields ...Pair) []byte {
	return appendThrown(b, seq, resultRefused, fields)
}

// AppendFailed appends the exception that promises nothing.
func AppendFailed(b []byte, seq int32, fields ...Pair) []byte {
	return appendThrown(b, seq, resultFailed, fields)
}

func appendThrown(b []byte, seq int32, result uint16, fields []Pair) []byte {
	start := len(b)
	b = appendReply(b, typeReply, Submit, seq)
	b = appendField(b, tStruct, result)
	b = appendFields(b, 1, fields)
	b = append(b, tStop, tStop)
	setFrame(b[start:], len(b)-start-frameHead)
	return b
}

// AppendException appends an application exception.
func AppendException(b []byte, name []byte, seq int32, code int32, text string) []byte {
	start := len(b)
	b = appendMessage(b, typeException, string(name), seq)
	b = appendField(b, tBinary, 1)
	b = appendString(b, text)
	b = appendField(b, tI32, 2)
	b = binary.BigEndian.AppendUint32(b, uint32(code))
	b = append(b, tStop)
	setFrame(b[start:], len(b)-start-frameHead)
	return b
}

var methodNames = [...]string{Submit: "submit", Revoke: "revoke", Heartbeat: "heartbeat"}

func appendReply(b []byte, kind byte, m Method, seq int32) []byte {
	return appendMessage(b, kind, methodNames[m], seq)
}

func appendMessage(b []byte, kind byte, name string, seq int32) []byte {
	b = append(b, 0, 0, 0, 0) // the frame's size, set when it is known
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
	b = appendField(b, tMap, id)
	b = append(b, tBinary, tBinary)
	b = binary.BigEndian.AppendUint32(b, uint32(len(fields)))
	for _, f := range fields {
		b = appendString(appendString(b, f.Name), f.Value)
	}
	return b
}

func setFrame(b []byte, size int) { binary.BigEndian.PutUint32(b, uint32(size)) }
