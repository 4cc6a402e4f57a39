// Package simulated runs many simulated directors in one process. A simulated director speaks the director's side of the watch
// protocol over TCP with the director's own timing, announcements and quota renewals, and leaves out what a director does with
// what it learns. The package measures what its directors see; the scale run starts it and adds the figures of all processes up.
package simulated

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"os"
)

// MaxDirectors is the largest number of simulated directors in one process.
const MaxDirectors = 2000

// LeastDemand is the smallest demand that a director announces for a warming cache.
const LeastDemand = 0.001

// Settings are those of one process. They are passed in a file as JSON.
type Settings struct {
	Addresses      []netip.AddrPort `json:"addresses"`        // of watch servers; director i begins with address i modulo their number
	First          int              `json:"first"`            // number of the first director; numbers are unique in a run
	Count          int              `json:"count"`            // directors in this process
	Total          int              `json:"total"`            // directors in the whole run
	Crowd          int              `json:"crowd"`            // directors by their configuration: the reconnect pause grows with it
	ColdCaches     int              `json:"cold_caches"`      // caches of which each director wants a share
	Demand         float64          `json:"demand"`           // sum of all directors' demands for one warming cache, in parts of its limit
	Zipf           float64          `json:"zipf"`             // exponent of the law by which demand is divided among directors
	Seed           uint64           `json:"seed"`             // of demands and reconnect pauses
	StartPerSecond int              `json:"start_per_second"` // directors that begin to watch in a second
}

// ReadSettings reads and checks a file of settings.
func ReadSettings(path string) (set Settings, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return set, err
	}
	if err := json.Unmarshal(text, &set); err != nil {
		return set, fmt.Errorf("%s: %w", path, err)
	}
	return set, set.check()
}

func (s Settings) check() error {
	switch {
	case len(s.Addresses) == 0:
		return errors.New("hollow: no address to watch")
	case s.Count < 1 || s.Count > MaxDirectors:
		return fmt.Errorf("hollow: %d directors, 1 to %d are allowed in a process", s.Count, MaxDirectors)
	case s.First < 0 || s.First+s.Count > s.Total:
		return fmt.Errorf("hollow: directors %d to %d of %d", s.First, s.First+s.Count-1, s.Total)
	case s.ColdCaches < 0 || s.StartPerSecond < 1 || s.Crowd < 1:
		return errors.New("hollow: cold_caches, crowd or start_per_second out of range")
	}
	return nil
}

// Demands are all directors' mean demands for one warming cache, by the director's number: a Zipf law of the ranks, which a
// generator of the seed and the cache shuffles. They add up to total, before the smallest are raised to LeastDemand.
func Demands(seed uint64, cache, directors int, exponent, total float64) []float64 {
	ranks := rand.New(rand.NewPCG(seed, uint64(cache))).Perm(directors)
	sum := 0.0
	for rank := range directors {
		sum += math.Pow(float64(rank+1), -exponent)
	}
	demands := make([]float64, directors)
	for i, rank := range ranks {
		demands[i] = max(LeastDemand, total*math.Pow(float64(rank+1), -exponent)/sum)
	}
	return demands
}
