package decision

import (
	"cmp"
	"math"
	"slices"
)

// Placement selects the cache of a request and the source of a fill, and decides how deep an attempt
// may fetch.
//
// The cache is selected by weighted rendezvous hashing of the object over the listed caches of the
// zone, so that all directors agree without coordination and a change to the list moves only the
// objects of the changed cache. Loads are bounded: a cache that has far more than its share of the
// attempts in flight is skipped.
//
// The source is the faster of two parents drawn at random, or the origin if no parent is available.
// While the parents are likely to miss the object, the two are selected by the object's hash, so that
// all directors use the same two and the origin receives at most two fetches.

const (
	loadBoundFactor     = 1.25 // a cache with more than this many times its share of the attempts in flight is skipped
	loadBoundDeviations = 3    // standard deviations of that share that are attributed to chance
	loadBoundMin        = 4    // attempts in flight that a cache may always have; smaller counts are too noisy to compare

	likelyMissFetchShare = 0.5 // share of fills that parents had to fetch above which they are assumed likely to miss any object
)

// fetchDepth is how deep an attempt may fetch an object.
type fetchDepth int

const (
	fetchFromCache  fetchDepth = iota + 1 // cache-only lookup: only what the cache has
	fetchFromSource                       // only what the cache or the source has
	fetchAnywhere
)

// chooseDepth decides how deep a request may fetch; ok is false if the request must not be sent. While
// a limit on fills is in force, the cache is looked up first, and while a limit on fetches is in
// force, the parents are looked up first, so that only a known miss needs capacity under the limit.
func (r *Router) chooseDepth(q *request, cache, source *host) (depth fetchDepth, ok bool) {
	knownMiss := q.knownMiss(cache)
	fills := &r.limits.fills
	fetches := &r.limits.fetches
	switch {
	case r.now+q.sendTime+seconds(r.estimates.overhead.bound(1)) > q.deadline: // the deadline is too short for a fill
		return fetchFromCache, knownMiss < fetchFromCache
	case r.isInSlowStart(cache, q) && fills.fits(q.requiredHeadroom) && fetches.fits(q.requiredHeadroom):
		return fetchAnywhere, true // a lookup first would use up the slow start budget
	case knownMiss < fetchFromCache && fills.isLimited():
		return fetchFromCache, true
	case knownMiss < fetchFromSource && fetches.isLimited() && r.endpoints.isParent(source):
		return fetchFromSource, fills.fits(q.requiredHeadroom)
	case knownMiss == fetchFromSource:
		return fetchAnywhere, fetches.fits(q.requiredHeadroom)
	default:
		return fetchAnywhere, fills.fits(q.requiredHeadroom)
	}
}

// pickCache selects a cache that can take the request and has not failed it, or returns nil if there
// is none. It prefers caches that are not crowded, and uses ejected caches only as a last resort,
// because an unlikely success is better than none.
func (r *Router) pickCache(q *request) *host {
	const (
		notCrowded = iota
		notEjected
		anyCache
	)
	for preference := notCrowded; preference <= anyCache; preference++ {
		var best *host
		bestScore := math.Inf(-1)
		for _, h := range r.endpoints.caches {
			switch {
			case !h.isReady || q.failedAt(h) || !r.mayRepeat(q, h):
			case !r.hasSlowStartCapacity(h, q) || !h.limit.fits(q.requiredHeadroom):
			case preference < anyCache && !r.isHealthy(h):
			case preference == notCrowded && r.isCrowded(h):
			default:
				if score := rendezvousScore(q.key, h, r.weight(h)); score > bestScore {
					best = h
					bestScore = score
				}
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

// isCrowded reports whether a cache has far more than its share of the attempts in flight. If other
// directors send to the caches too, the counts of this one are a sample, so the bound allows for
// random deviations.
func (r *Router) isCrowded(h *host) bool {
	inFlight := 0.0
	weight := 0.0
	for _, o := range r.endpoints.caches {
		if o.isReady && !o.health.isEjected(r.now) {
			inFlight += float64(o.attemptsInFlight)
			weight += r.weight(o)
		}
	}
	share := (inFlight + 1) * r.weight(h) / weight
	allowance := loadBoundDeviations * math.Sqrt(share*(1-1/r.directorsInZone))
	return h.attemptsInFlight >= loadBoundMin && float64(h.attemptsInFlight+1) > loadBoundFactor*share+allowance
}

// weight returns the size of a cache relative to the others if the endpoint list gives a size that
// does not change with load, and otherwise 1.
func (r *Router) weight(h *host) float64 {
	if (r.settings.WeightMode == WeightModeNominal || r.settings.WeightMode == WeightModeRough) && h.Weight > 0 {
		return h.Weight
	}
	return 1
}

// rendezvousScore returns the score of a host for an object. The object is placed at the host with
// the highest score; each host gets a share of all objects in proportion to its weight.
func rendezvousScore(k fillKey, h *host, weight float64) float64 {
	x := mix64(uint64(k.object) ^ mix64(uint64(k.part)<<32^uint64(h.Host)))
	u := (float64(x>>11) + 0.5) / (1 << 53) // uniform in the open interval from 0 to 1
	return -weight / math.Log(u)
}

// mix64 implements the finalizer of splitmix64.
func mix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// pickSource selects the source of a fill. It returns nil if no source is available.
func (r *Router) pickSource(q *request) *host {
	var parents []*host
	for _, p := range r.endpoints.parents {
		if r.isAvailable(p, q) && !q.hasUsedSource(p) {
			parents = append(parents, p)
		}
	}
	if len(parents) == 0 {
		if origin := r.endpoints.origin; origin != nil && origin.isReady {
			return origin
		}
		return nil
	}
	if r.parentsLikelyMiss(q) {
		slices.SortFunc(parents, func(a, b *host) int {
			return cmp.Compare(rendezvousScore(q.key, b, 1), rendezvousScore(q.key, a, 1))
		})
	} else {
		r.random.Shuffle(len(parents), func(i, j int) { parents[i], parents[j] = parents[j], parents[i] })
	}
	if len(parents) > 1 && r.sourceLatency(parents[1]) < r.sourceLatency(parents[0]) {
		return parents[1]
	}
	return parents[0]
}

// parentsLikelyMiss reports whether the parents are likely to miss the object: it was purged
// recently, a parent is unavailable, or the parents had to fetch most fills.
func (r *Router) parentsLikelyMiss(q *request) bool {
	_, purged := r.purges.lastPurgedAt(q.Object, q.PurgeGroup)
	return purged || r.estimates.fetchShare > likelyMissFetchShare ||
		slices.ContainsFunc(r.endpoints.parents, func(p *host) bool { return !p.isReady || !r.isHealthy(p) })
}

// isAvailable reports whether a host is ready and healthy and has slow start capacity for the
// request. Such a host can be the source of a fill.
func (r *Router) isAvailable(h *host, q *request) bool {
	return h.isReady && r.isHealthy(h) && r.hasSlowStartCapacity(h, q)
}

// canSendTo reports whether an attempt of the request may be sent to the host.
func (r *Router) canSendTo(h *host, q *request) bool {
	return r.isAvailable(h, q) && r.mayRepeat(q, h)
}
