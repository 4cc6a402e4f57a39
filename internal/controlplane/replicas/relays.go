package replicas

// GiveSession records the lease of a relay's session, beside those of replicas: Acknowledged then waits for its directors too.
// It is to be called at the leader once a Barrier has passed, before the lease is sent to the relay.
func (g *Group) GiveSession(session uint64, acknowledged int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.granter.Give(session, acknowledged, Now())
}
