package director

import (
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/claims"
	"stairvane.org/stairvane/internal/director/config"
)

// claimsPeer is another director, which is the primary of all shards and whose answers the test gives.
type claimsPeer struct {
	t        *testing.T
	listener net.Listener
}

const claimsPeerID = "p/1"

// nextRequest accepts a director's connection and returns the sequence number of its first claim request.
func (p *claimsPeer) nextRequest() (seq uint64, shard int) {
	p.t.Helper()
	must(p.t, p.listener.(*net.TCPListener).SetDeadline(time.Now().Add(testTimeout)))
	conn, err := p.listener.Accept()
	must(p.t, err)
	c := newScriptedConn(p.t, conn)
	c.commands = make(chan []string, 64)
	go c.serve()
	if from := c.command(); from[0] != claimsFrom {
		p.t.Fatalf("%q", from)
	}
	request := strings.Fields(c.command()[1])
	seq, err = strconv.ParseUint(request[1], 10, 64)
	must(p.t, err)
	shard, err = strconv.Atoi(request[3])
	must(p.t, err)
	return seq, shard
}

// grant sends a grant of a claim to whoever listens at an address.
func (p *claimsPeer) grant(address string, seq uint64, shard int, c claims.Claim) {
	p.t.Helper()
	conn, err := net.Dial("tcp", address)
	must(p.t, err)
	m := claims.Message{Kind: claims.ReplyClaim, Seq: seq, Epoch: 1, Shard: shard, Verdict: claims.Granted, Claims: []claims.Claim{c}}
	bulks, err := m.Bulks(maxClaimsBulk)
	must(p.t, err)
	sender := newScriptedConn(p.t, conn)
	sender.write(respArray(claimsFrom, claimsPeerID) + respArray(claimsMessage, string(m.Head()), string(bulks[0])))
	waitAcknowledged(p.t, conn)
}

// startClaimingDirector starts a director with the given incarnation that claims the keys of requests at the peer.
func startClaimingDirector(t *testing.T, incarnation, listen string, peer *claimsPeer, cache *scriptedCache) *testDirector {
	t.Helper()
	settings := strings.Replace(testSettings, `"Effect":"safe","Group":"all"`, `"Effect":"keyed","Group":"all","DedupWindow":60000`, 1)
	var shards []string
	for i := range claimsShards {
		shards = append(shards, fmt.Sprintf(`{"slot":%d,"epoch":1,"homes":[%q]}`, i, claimsPeerID))
	}
	members := fmt.Sprintf(`{"no":1,"items":[{"no":1,"roster":{"seq":1,"whole":true,"hosts":[%s]},"roll":{"whole":true,`+
		`"joined":[{"name":"p","inc":"1","claims":%q},{"name":"n0","inc":%q,"claims":%q}],"slots":[%s]}}]}`,
		cache.host("s-1", "in_service"), peer.listener.Addr(), incarnation, listen, strings.Join(shards, ","))
	text, err := json.Marshal(map[string]any{
		"name": "n0", "listen": "127.0.0.1:0", "seed": "1", "bulletin": "127.0.0.1:1",
		"limits":   map[string]any{"memory_mb": 64, "sockets": 512},
		"known":    json.RawMessage(members),
		"settings": json.RawMessage(settings),
	})
	must(t, err)
	c, err := config.Parse(text, "", "")
	must(t, err)
	c.Membership = &config.Membership{Machine: "m", Site: "west", Incarnation: incarnation}
	c.Claims = &config.Claims{Listen: netip.MustParseAddrPort(listen), MaxClaims: 100, UnreachablePolicy: config.ClaimsWait}
	d := &testDirector{t: t, exited: make(chan error, 1)}
	d.program, err = New(c)
	must(t, err)
	go func() { d.exited <- d.program.Run() }()
	return d
}

// Guards against an answer to an earlier process at the same address that counts as one to this process: its request would run
// although another director may hold the key.
func TestClaimsAnswerToEarlierProcessIsIgnored(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	t.Cleanup(func() { _ = ln.Close() }) // nothing depends on it
	peer := &claimsPeer{t, ln}
	cache := newScriptedCache(t)
	sent := countAll(cache)
	reserved, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	address := reserved.Addr().String()
	must(t, reserved.Close())

	earlier := startClaimingDirector(t, "i1", address, peer, cache)
	earlier.client().submit(requestA, objectA, "token", "key-of-the-earlier")
	seq, shard := peer.nextRequest()
	earlier.program.Post(earlier.program.loop.Stop)
	must(t, <-earlier.exited)

	later := startClaimingDirector(t, "i2", address, peer, cache)
	t.Cleanup(func() {
		later.program.Post(later.program.loop.Stop)
		must(t, <-later.exited)
	})
	later.client().submit(requestB, objectB, "token", "key-of-the-later")
	ownSeq, ownShard := peer.nextRequest()
	earlierClaim := claims.Claim{Token: "key-of-the-earlier", Group: "all", Owner: "n0/i1", Request: requestA, Window: time.Minute}
	peer.grant(address, seq, shard, earlierClaim)
	time.Sleep(100 * time.Millisecond)
	if n := sent.Load(); n > 0 {
		t.Errorf("%d requests were sent although their key was not granted", n)
	}
	ownClaim := claims.Claim{Token: "key-of-the-later", Group: "all", Owner: "n0/i2", Request: requestB, Window: time.Minute}
	peer.grant(address, ownSeq, ownShard, ownClaim)
	waitCount(t, sent, 1)
}
