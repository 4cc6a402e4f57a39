package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"os"
)

// The layout of a bbolt file: its first two pages each hold a copy of the file header. After a page
// header of 16 bytes come magic, version, page size and flags (4 bytes each), root (16), freelist
// (8), the number of pages in use (8), the transaction number (8), and the FNV-1a hash of all these
// fields.
const (
	headerMagic      = 0xED0CDAED
	headerOffset     = 16
	headerLength     = 56 // bytes, without the checksum
	headerSumLength  = 8
	pageSizeOffset   = 8  // in the header
	pagesInUseOffset = 40 // in the header
)

// fileHeader contains the fields of a file header that checkFileHeaders needs.
type fileHeader struct {
	pageSize   uint64
	pagesInUse uint64
}

// checkFileHeaders rejects a file that is shorter than its header says, because reading it would
// cause a memory fault. Unless acceptOlder is set, it also rejects a file in which one of the two
// headers is damaged: the library would continue from the older one, and the last change would be
// lost unnoticed. A crash does not explain such damage, because a header is far shorter than the
// unit that a disk writes atomically.
func checkFileHeaders(path string, acceptOlder bool) error {
	f, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // the file was only read
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
		return fmt.Errorf("%w: neither of the two file headers can be read", ErrDamaged)
	case intact == 1 && !acceptOlder:
		return fmt.Errorf("%w: one of the two file headers can't be read, and the last change may be lost", ErrDamaged)
	case uint64(info.Size()) < bytesInUse:
		return fmt.Errorf("%w: the file is %d bytes long, but %d bytes are in use", ErrDamaged, info.Size(), bytesInUse)
	}
	return nil
}

// readFileHeader reads the file header in the page at an offset. ok is false if the header is
// damaged.
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
