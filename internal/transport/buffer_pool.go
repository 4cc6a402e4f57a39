package transport

import "math/bits"

const (
	minBufferBits  = 12 // 4 KB
	maxBufferBits  = 19 // 512 KB
	maxPooledBytes = 8 << 20
)

// bufferPool is a pool of free buffers whose sizes are powers of two. Its total size is at most maxPooledBytes.
type bufferPool struct {
	free        [maxBufferBits + 1][][]byte // by the base-2 logarithm of the size
	pooledBytes int
}

// get returns an empty buffer with a capacity of at least n bytes.
func (p *bufferPool) get(n int) []byte {
	sizeBits := max(bits.Len(uint(max(n, 1)-1)), minBufferBits)
	if sizeBits > maxBufferBits {
		return make([]byte, 0, n)
	}
	if pooled := p.free[sizeBits]; len(pooled) > 0 {
		b := pooled[len(pooled)-1]
		p.free[sizeBits] = pooled[:len(pooled)-1]
		p.pooledBytes -= cap(b)
		return b[:0]
	}
	return make([]byte, 0, 1<<sizeBits)
}

// put returns a buffer to the pool. It drops the buffer if the pool is full or does not hold buffers of its size.
func (p *bufferPool) put(b []byte) {
	sizeBits := bits.Len(uint(cap(b))) - 1
	if sizeBits < minBufferBits || sizeBits > maxBufferBits || cap(b) != 1<<sizeBits || p.pooledBytes+cap(b) > maxPooledBytes {
		return
	}
	p.free[sizeBits] = append(p.free[sizeBits], b)
	p.pooledBytes += cap(b)
}
