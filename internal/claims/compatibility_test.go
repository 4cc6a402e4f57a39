package claims

import (
	"bytes"
	"fmt"
	"testing"

	"stairvane.org/stairvane/internal/tools/golden"
)

// TestGoldenEncoding guards the wire format of messages between directors, which must stay readable for older versions.
func TestGoldenEncoding(t *testing.T) {
	var m Message
	golden.Fill(&m)
	m.Kind, m.Verdict = EpochClosed, Unreachable
	bulks, err := m.Bulks(1 << 10)
	if err != nil {
		t.Fatal(err)
	}
	golden.Text(t, "message.txt", fmt.Sprintf("%s\n%s", m.Head(), bytes.Join(bulks, []byte("--\n"))))
	read, err := Decode(m.Head(), bulks)
	if err != nil {
		t.Fatal(err)
	}
	golden.Text(t, "message-read.txt", golden.Values(read))
}
