package transport

import "math/bits"

const (
	smallestBuffer = 12 // log2: 4 KB
	largestBuffer  = 19 // log2: 512 KB
	spareBytes     = 8 << 20
)

// pool keeps a bounded stock of buffers by size, powers of two.
type pool struct {
	free [largestBuffer + 1][][]byte
	held int
}

// get gives an empty buffer with room for n bytes at least.
func (p *pool) get(n int) []byte {
	size := max(bits.Len(uint(max(n, 1)-1)), smallestBuffer)
	if size > largestBuffer {
		return make([]byte, 0, n)
	}
	if stock := p.free[size]; len(stock) > 0 {
		b := stock[len(stock)-1]
		p.free[size] = stock[:len(stock)-1]
		p.held -= cap(b)
		return b[:0]
	}
	return make([]byte, 0, 1<<size)
}

func (p *pool) put(b []byte) {
	size := bits.Len(uint(cap(b))) - 1
	if size < smallestBuffer || size > largestBuffer || cap(b) != 1<<size || p.held+cap(b) > spareBytes {
		return
	}
	p.free[size] = append(p.free[size], b)
	p.held += cap(b)
}
