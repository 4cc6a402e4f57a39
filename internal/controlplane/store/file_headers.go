package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"os"
)

// The form of bbolt's file: two pages with a header each. After a page header of 16 bytes come
// magic, version, page size and flags (4 bytes each), root (16), freelist (8), the count of pages
// in use (8), the transaction's number (8), and the FNV-1a of all that.
const (
	headerMagic      = 0xED0CDAED
	headerOffset     = 16
	headerLength     = 56 // without its checksum
	headerSumLength  = 8
	pageSizeOffset   = 8  // in the header
	pagesInUseOffset = 40 // in the header
)

// fileHeader is what counts of a header here.
type fileHeader struct {
	pageSize   uint64
	pagesInUse uint64
}

// checkFileHeaders rejects a file that is shorter than its header says, for reading it would be a
// memory fault. It also rejects a file of whose two headers one is not as it was written: the
// library would go on from the older one, and the last change would be lost unnoticed. A header is
// far shorter than what a disk writes at once, so that a crash does not explain it.
func checkFileHeaders(path string, acceptOlder bool) error {
	f, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // it was only read
	info, err := f.Stat()
	if err != nil || info.Size() == 0 {
		return err
	}
	intact := 0
	bytesInUse := uint64(0)
	pageSize := uint64(os.Getpagesize())
	for i := range 2 {
		header, ok := readFileHeader(f, int64(i)*int64(pageSize))
		if !ok {
			continue
		}
		intact++
		pageSize = header.pageSize
		bytesInUse = max(bytesInUse, header.pagesInUse*header.pageSize)
	}
	switch {
	case intact == 0:
		return fmt.Errorf("%w: neither of its two heads can be read", ErrDamaged)
	case intact == 1 && !acceptOlder:
		return fmt.Errorf("%w: one of its two heads can't be read, and the last change may be lost", ErrDamaged)
	case uint64(info.Size()) < bytesInUse:
		return fmt.Errorf("%w: %d bytes long, %d are in use", ErrDamaged, info.Size(), bytesInUse)
	}
	return nil
}

// readFileHeader reads the header of the page at an offset; ok is false if it is not as it was
// written.
func readFileHeader(f io.ReaderAt, offset int64) (header fileHeader, ok bool) {
	page := make([]byte, headerOffset+headerLength+headerSumLength)
	if n, _ := f.ReadAt(page, offset); n < len(page) {
		return fileHeader{}, false
	}
	raw := page[headerOffset : headerOffset+headerLength]
	sum := fnv.New64a()
	_, _ = sum.Write(raw) // a hash never fails
	if binary.LittleEndian.Uint32(raw) != headerMagic ||
		binary.LittleEndian.Uint64(page[headerOffset+headerLength:]) != sum.Sum64() {
		return fileHeader{}, false
	}
	return fileHeader{
		pageSize:   uint64(binary.LittleEndian.Uint32(raw[pageSizeOffset:])),
		pagesInUse: binary.LittleEndian.Uint64(raw[pagesInUseOffset:]),
	}, true
}
