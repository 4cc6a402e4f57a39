package decision

import (
	"cmp"
	"math"
	"slices"
)

// Placement chooses the cache of a request and the source of a fill, and decides how deep an
// attempt may fetch.
//
// The cache is chosen by weighted rendezvous hashing of the object over the listed caches of the
// zone, so that all directors agree without talking and a change of the list moves only the changed
// cache's objects. Loads are bounded: a cache that has far more than its share of the attempts in
// flight is passed over.
//
// The source is the quicker of two parents drawn at random, or the origin where no parent can be
// used. While parents are likely not to have the object, the two are drawn by the object's hash, so
// that all directors ask the same two and the origin is asked at most twice.

const (
	loadBound           = 1.25 // times its share of the attempts in flight above which a cache is passed over
	loadBoundDeviations = 3    // standard deviations of that share that are put down to chance
	loadBoundMin        = 4    // attempts in flight that a cache may always have: smaller counts compare badly

	likelyMissFetchShare = 0.5 // share of fills that parents had to fetch from which they are likely to miss any object
)

// fetchDepth is how deep an attempt may fetch an object.
type fetchDepth int

const (
	fetchFromCache  fetchDepth = iota + 1 // a cache-only lookup: what the cache has
	fetchFromSource                       // what the cache or the source has
	fetchAnywhere
)

// chooseDepth decides how deep a request may fetch, and whether it may be sent at all. While fills
// are limited, what the cache has is looked up first, and while fetches are limited, what the
// parents have: only a known miss needs capacity under a limit.
func (r *Router) chooseDepth(q *request, cache, source *host) (depth fetchDepth, ok bool) {
	knownMiss := q.knownMiss(cache)
	fills := &r.limits.fills
	fetches := &r.limits.fetches
	switch {
	case r.now+q.sendTime+seconds(r.estimates.overhead.bound(1)) > q.deadline: // too short a deadline for a fill
		return fetchFromCache, knownMiss < fetchFromCache
	case r.inSlowStart(cache, q) && fills.fits(q.requiredFree) && fetches.fits(q.requiredFree): // a lookup would spend its budget too
		return fetchAnywhere, true
	case knownMiss < fetchFromCache && fills.isLimited():
		return fetchFromCache, true
	case knownMiss < fetchFromSource && fetches.isLimited() && r.endpoints.isParent(source):
		return fetchFromSource, fills.fits(q.requiredFree)
	case knownMiss == fetchFromSource:
		return fetchAnywhere, fetches.fits(q.requiredFree)
	default:
		return fetchAnywhere, fills.fits(q.requiredFree)
	}
}

// pickCache chooses a cache that can take the request and has not failed it. Crowded caches come
// after the others, and ejected ones last: an unlikely answer is better than none. It returns nil
// if there is none.
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
			case !r.hasSlowStartCapacity(h, q) || !h.limit.fits(q.requiredFree):
			case preference < anyCache && !r.healthy(h):
			case preference == notCrowded && r.crowded(h):
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

// crowded reports whether a cache has far more than its share of the attempts in flight. Where
// other directors send to the caches too, this one's counts are a sample, and deviations by chance
// are allowed for.
func (r *Router) crowded(h *host) bool {
	inFlight := 0.0
	weight := 0.0
	for _, o := range r.endpoints.caches {
		if o.isReady && !o.health.isEjected(r.now) {
			inFlight += float64(o.attemptsInFlight)
			weight += r.weight(o)
		}
	}
	share := (inFlight + 1) * r.weight(h) / weight
	chance := loadBoundDeviations * math.Sqrt(share*(1-1/r.directorsInZone))
	return h.attemptsInFlight >= loadBoundMin && float64(h.attemptsInFlight+1) > loadBound*share+chance
}

// weight is a cache's size relative to others, where the endpoint list gives one that does not
// change with load.
func (r *Router) weight(h *host) float64 {
	if (r.settings.WeightMode == WeightModeNominal || r.settings.WeightMode == WeightModeRough) && h.Weight > 0 {
		return h.Weight
	}
	return 1
}

// rendezvousScore is the score of a host for an object. The host with the highest one has the
// object; each has a share of all objects in proportion to its weight.
func rendezvousScore(k fillKey, h *host, weight float64) float64 {
	x := mix64(uint64(k.object) ^ mix64(uint64(k.part)<<32^uint64(h.Host)))
	u := (float64(x>>11) + 0.5) / (1 << 53) // uniform between 0 and 1, both excluded
	return -weight / math.Log(u)
}

// mix64 is the finalizer of splitmix64.
func mix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// pickSource chooses the source of a fill. It returns nil if there is none.
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

// parentsLikelyMiss reports whether the parents are likely not to have the object: it was purged
// lately, a parent is out, or most fills had to be fetched.
func (r *Router) parentsLikelyMiss(q *request) bool {
	_, purged := r.purges.last(q.Object, q.PurgeGroup)
	return purged || r.estimates.fetchShare > likelyMissFetchShare ||
		slices.ContainsFunc(r.endpoints.parents, func(p *host) bool { return !p.isReady || !r.healthy(p) })
}

// isAvailable reports whether a host is ready, neither ejected nor busy with its trial, and has slow
// start capacity for the request. A fill may name such a host as its source.
func (r *Router) isAvailable(h *host, q *request) bool {
	return h.isReady && r.healthy(h) && r.hasSlowStartCapacity(h, q)
}

// usable reports whether an attempt may go to the host.
func (r *Router) usable(h *host, q *request) bool {
	return r.isAvailable(h, q) && r.mayRepeat(q, h)
}
