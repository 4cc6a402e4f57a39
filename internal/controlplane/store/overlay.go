package store

// overlay is a list of writes that are not in the file yet, newest first. It is immutable once it is
// published to other goroutines.
type overlay struct {
	puts map[string][]byte // by bucket, a 0 byte and key; nil: deleted
	next *overlay
}

func overlayKey(bucket, key []byte) string { return string(bucket) + "\x00" + string(key) }

func (o *overlay) set(p put) { o.puts[overlayKey(p.bucket, p.key)] = p.value }

// find returns the newest value of a key; isSet is false if no overlay sets it and the file's value
// applies.
func (o *overlay) find(bucket, key []byte) (value []byte, isSet bool) {
	if o == nil {
		return nil, false
	}
	k := overlayKey(bucket, key)
	for ; o != nil; o = o.next {
		if value, isSet := o.puts[k]; isSet {
			return value, true
		}
	}
	return nil, false
}
