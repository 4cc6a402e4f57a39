package operatorconfig

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

const relayForm = "(relay (name r1) (machine m-1) (site s-1) (region north) (listen 127.0.0.1:8600) " +
	"(upstream 127.0.0.1:8501 127.0.0.1:8502)%s)"

func readRelay(text string) (Relay, error) {
	p, errors := ReadProgram("etc/relay.scm", files(map[string]string{"etc/relay.scm": text}))
	if len(errors) > 0 {
		return p.Relay, errors
	}
	return p.Relay, nil
}

func TestReadRelay(t *testing.T) {
	r, err := readRelay(fmt.Sprintf(relayForm, ""))
	if err != nil {
		t.Fatal(err)
	}
	if r.Name != "r1" || r.Region != "north" || len(r.Upstream) != 2 || r.BatchTime != 100*time.Millisecond ||
		r.MaxWatchers != 2000 || r.Watchers != nil {
		t.Errorf("%+v", r)
	}
	r, err = readRelay(fmt.Sprintf(relayForm, " (watchers 10.0.0.0/8) (gather 0) (max-watchers 400) (keep 500) (leave-over 5s) "+
		"(tls (certificate a) (key b) (authority c))"))
	if err != nil {
		t.Fatal(err)
	}
	if r.BatchTime != 0 || r.MaxWatchers != 400 || r.KeepEvents != 500 || r.DrainTime != 5*time.Second ||
		r.TLS == nil || r.TLS.Authority != "etc/c" || r.Watchers == nil {
		t.Errorf("%+v", r)
	}
}

func TestRelayErrorsNameTheirKey(t *testing.T) {
	for change, want := range map[[2]string]string{
		{"(name r1) ", ""}:                           "relay.name: missing",
		{"(region north) ", ""}:                      "relay.region: missing",
		{"name r1", "name r/1"}:                      `relay.name: "r/1" is not a name`,
		{"127.0.0.1:8502", "127.0.0.1:8501"}:         "relay.upstream: 127.0.0.1:8501 is given twice",
		{"127.0.0.1:8501 127.0.0.1:8502", ""}:        "relay.upstream: the write sides of all replicas are required",
		{"127.0.0.1:8502", "10.1.0.1:8501"}:          "relay.upstream: 10.1.0.1:8501 is not loopback",
		{"(listen 127.0.0.1:8600)", "(listen here)"}: "relay.listen: ",
		{"(site s-1)", "(site s-1) (gather 1s)"}:     "relay.gather: ",
		{"(site s-1)", "(site s-1) (gathers 1ms)"}:   `did you mean "gather"?`,
		{"(site s-1)", "(site s-1) (tls (key k))"}:   "relay.tls.certificate: missing",
	} {
		_, err := readRelay(strings.Replace(fmt.Sprintf(relayForm, ""), change[0], change[1], 1))
		hasWanted := func(line string) bool { return strings.Contains(line, want) }
		if err == nil || !slices.ContainsFunc(strings.Split(err.Error(), "\n"), hasWanted) {
			t.Errorf("%v: %v", change, err)
		}
	}
}
