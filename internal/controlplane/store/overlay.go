package store

// overlay is what was written on top of the file, newest first. It is not changed once others may
// see it.
type overlay struct {
	puts map[string][]byte // by bucket, 0 and key; nil: deleted
	next *overlay
}

func overlayKey(bucket, key []byte) string { return string(bucket) + "\x00" + string(key) }

func (o *overlay) set(p put) { o.puts[overlayKey(p.bucket, p.key)] = p.value }

// find returns a value; isSet is false if the file's value is valid.
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
