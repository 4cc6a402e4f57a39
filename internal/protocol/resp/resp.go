// Package resp reads and writes the caches' messages: RESP arrays of bulk strings. It does no I/O; what it parses are
// slices of the caller's buffer.
package resp

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// Limits of what a cache may send.
const (
	MaxBulk  = 240_000
	maxWords = 8
	maxLine  = 16
)

// Words is one message.
type Words [][]byte

// Parse reads one array from the start of b; words is reused. used is 0 while it is not whole; then need tells how
// many bytes must be there before it can be.
func Parse(b []byte, words Words) (w Words, used, need int, err error) {
	words = words[:0]
	count, at, need, err := number(b, 0, '*', maxWords)
	if err != nil || need > 0 {
		return words, 0, need, err
	}
	for range count {
		size, body, need, err := number(b, at, '$', MaxBulk)
		if err != nil || need > 0 {
			return words, 0, need, err
		}
		end := body + size
		if len(b) < end+2 {
			return words, 0, end + 2, nil
		}
		if b[end] != '\r' || b[end+1] != '\n' {
			return words, 0, 0, errors.New("resp: bulk string is not as long as it says")
		}
		words = append(words, b[body:end:end])
		at = end + 2
	}
	return words, at, 0, nil
}

// number reads a line of a mark and a count that starts at from.
func number(b []byte, from int, mark byte, limit int) (n, next, need int, err error) {
	if len(b) <= from {
		return 0, 0, from + 1, nil
	}
	if b[from] != mark {
		return 0, 0, 0, fmt.Errorf("resp: %q where %q must stand", b[from], mark)
	}
	line := b[from:min(len(b), from+maxLine)]
	end := bytes.IndexByte(line, '\n')
	if end < 0 {
		if len(line) == maxLine {
			return 0, 0, 0, errors.New("resp: count without an end")
		}
		return 0, 0, len(b) + 1, nil
	}
	digits, ended := bytes.CutSuffix(line[1:end], []byte{'\r'})
	if !ended || len(digits) == 0 {
		return 0, 0, 0, fmt.Errorf("resp: bad count %q", line[:end])
	}
	for _, d := range digits {
		if d < '0' || d > '9' {
			return 0, 0, 0, fmt.Errorf("resp: bad count %q", digits)
		}
		n = n*10 + int(d-'0') // maxLine keeps it in range
	}
	if n > limit {
		return 0, 0, 0, fmt.Errorf("resp: count %d, more than %d", n, limit)
	}
	return n, from + end + 1, 0, nil
}

// None stands for no fields.
const None = "-"

// Fields walks over name=value,name=value and stops at the first that f turns down or that is no pair.
func Fields(b []byte, f func(name, value []byte) error) error {
	if len(b) == 0 || string(b) == None {
		return nil
	}
	for pair := range bytes.SplitSeq(b, []byte{','}) {
		name, value, found := bytes.Cut(pair, []byte{'='})
		if !found || len(name) == 0 {
			return fmt.Errorf("resp: %q is no name=value", pair)
		}
		if err := f(name, value); err != nil {
			return err
		}
	}
	return nil
}

// AppendHead appends the start of an array of n bulk strings.
func AppendHead(b []byte, n int) []byte { return appendNumber(b, '*', n) }

// AppendBulk appends one bulk string.
func AppendBulk[T string | []byte](b []byte, v T) []byte {
	b = appendNumber(b, '$', len(v))
	return append(append(b, v...), '\r', '\n')
}

// AppendField appends one pair to a list of fields that started at from.
func AppendField[T string | []byte](b []byte, from int, name string, value T) []byte {
	if len(b) > from {
		b = append(b, ',')
	}
	b = append(append(b, name...), '=')
	return append(b, value...)
}

func appendNumber(b []byte, mark byte, n int) []byte {
	return append(strconv.AppendInt(append(b, mark), int64(n), 10), '\r', '\n')
}
