package resp

import (
	"errors"
	"strings"
	"testing"
)

// Guards against an array that is misparsed when it is received in several reads.
func TestParseIncompleteMessage(t *testing.T) {
	b := AppendHead(nil, 4)
	for _, w := range []string{"9b1f03aa5c7e2d41", "OK", "n=local,since=1764576000123", "a\r\nb"} {
		b = AppendBulk(b, w)
	}
	size := len(b)
	b = append(b, b...)
	for n := range size {
		if _, used, need, err := Parse(b[:n], nil); used != 0 || err != nil || need <= n || need > size {
			t.Fatalf("%d bytes: used %d, need %d, %v", n, used, need, err)
		}
	}
	w, used, _, err := Parse(b, nil)
	if err != nil || used != size || len(w) != 4 || string(w[3]) != "a\r\nb" {
		t.Fatalf("used %d, %v, %q", used, err, w)
	}
}

// Guards against a malformed message that is accepted, or treated as incomplete forever.
func TestParseMalformedMessage(t *testing.T) {
	for _, s := range []string{
		"+OK\r\n", "*9\r\n", "*-1\r\n", "*x\r\n", "*\r\n", "*1\n", "*1\r\n$240001\r\n",
		"*1\r\n$1\r\nabc", "*1\r\n:5\r\n", "*" + strings.Repeat("0", 40),
	} {
		if _, used, need, err := Parse([]byte(s), nil); err == nil {
			t.Errorf("%q: used %d, need %d", s, used, need)
		}
	}
	stop := errors.New("stop")
	for fields, valid := range map[string]bool{"-": true, "": true, "a=1,b=": true, "a": false, "=1": false, "a=1,": false} {
		if err := Fields([]byte(fields), func(_, _ []byte) error { return nil }); (err == nil) != valid {
			t.Errorf("fields %q: %v", fields, err)
		}
	}
	if err := Fields([]byte("a=1"), func(_, _ []byte) error { return stop }); !errors.Is(err, stop) {
		t.Error("Fields does not return the callback's error")
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("*2\r\n$1\r\na\r\n$2\r\nUP\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if _, used, need, err := Parse(b, nil); used > len(b) || err == nil && used == 0 && need <= len(b) {
			t.Errorf("used %d, need %d of %d", used, need, len(b))
		}
	})
}
