package config

import (
	"net/netip"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"
)

// Guards against a setting that gets lost between stairvane-fleet, which reads the operator's file, and the director's program.
func TestOperatorSettingsAreHandedOverWhole(t *testing.T) {
	listen := netip.MustParseAddrPort("127.0.0.1:9")
	network := netip.MustParsePrefix("10.1.0.0/16")
	for _, peers := range [][]netip.Prefix{nil, {}, {network}} {
		want := OperatorSettings{
			Cores:         3,
			ControlPlanes: []netip.AddrPort{listen},
			Membership:    &Membership{Machine: "m", Site: "s", Incarnation: "i", Version: "v", MaxStaleness: time.Second, Health: true},
			Claims: &Claims{
				Listen:            listen,
				Peers:             peers,
				MaxClaims:         5,
				UnreachablePolicy: ClaimsWait,
				PolicyByClass:     map[string]string{"c": ClaimsReject},
			},
		}
		entry, err := want.Environment()
		if err != nil {
			t.Fatal(err)
		}
		name, text, _ := strings.Cut(entry, "=")
		t.Setenv(name, text)
		got, err := TakeOperatorSettings()
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("got %+v, %v, want %+v", got, err, want)
		}
		if _, left := os.LookupEnv(name); left {
			t.Error("the settings are still in the environment")
		}
		loopback, inside := got.Claims.Allows(listen.Addr()), got.Claims.Allows(network.Addr())
		if loopback != (peers == nil) || inside != (len(peers) > 0) {
			t.Errorf("peers %v: loopback %t, inside %t", peers, loopback, inside)
		}
	}
	if got, err := TakeOperatorSettings(); err != nil || got.Cores != 1 {
		t.Errorf("without settings: %+v, %v", got, err)
	}
}
