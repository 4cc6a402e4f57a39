// Package simulated runs many simulated directors in one process. A simulated director implements the director's side of the watch
// protocol over TCP with the timing, announcements and quota renewals of a real director, but doesn't act on the events that it
// receives. The package records measurements of its directors; a scale run starts the processes and adds up their reports.
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

// MinDemand is the smallest demand that a director announces for a warming cache, in units of its limit.
const MinDemand = 0.001

// Settings are the settings of one process. They are passed as a JSON file.
type Settings struct {
	Addresses      []netip.AddrPort `json:"addresses"`        // of watch servers; director i starts with address i modulo their number
	First          int              `json:"first"`            // number of the first director; numbers are unique in a run
	Count          int              `json:"count"`            // directors in this process
	Total          int              `json:"total"`            // directors in the whole run
	Crowd          int              `json:"crowd"`            // configured number of directors; the reconnect pause grows with it
	ColdCaches     int              `json:"cold_caches"`      // warming caches of whose limits each director requests a share
	Demand         float64          `json:"demand"`           // sum of all directors' demands for one warming cache, in units of its limit
	Zipf           float64          `json:"zipf"`             // exponent of the Zipf law that divides the demand among directors
	Seed           uint64           `json:"seed"`             // seed of demands and reconnect pauses
	StartPerSecond int              `json:"start_per_second"` // directors that start to watch per second
}

// ReadSettings reads settings from a file and checks them.
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
		return errors.New("simulated directors: no address to watch")
	case s.Count < 1 || s.Count > MaxDirectors:
		return fmt.Errorf("simulated directors: %d in a process, 1 to %d are allowed", s.Count, MaxDirectors)
	case s.First < 0 || s.First+s.Count > s.Total:
		return fmt.Errorf("simulated directors: numbers %d to %d are out of range for %d in total", s.First, s.First+s.Count-1, s.Total)
	case s.ColdCaches < 0 || s.StartPerSecond < 1 || s.Crowd < 1:
		return errors.New("simulated directors: cold_caches, crowd or start_per_second is out of range")
	}
	return nil
}

// Demands returns the mean demands of all directors for one warming cache, by the director's number. They follow a Zipf law of
// ranks, which a random generator shuffles with the seed and the cache's index. They add up to total before the smallest ones are
// raised to MinDemand.
func Demands(seed uint64, cache, directors int, exponent, total float64) []float64 {
	ranks := rand.New(rand.NewPCG(seed, uint64(cache))).Perm(directors)
	sum := 0.0
	for rank := range directors {
		sum += math.Pow(float64(rank+1), -exponent)
	}
	demands := make([]float64, directors)
	for i, rank := range ranks {
		demands[i] = max(MinDemand, total*math.Pow(float64(rank+1), -exponent)/sum)
	}
	return demands
}
