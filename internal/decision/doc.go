// Package decision decides, for the front of a tier of caches that hold large objects behind thin
// links, which cache answers each request, where a missing object is filled from, what is cached, and when
// a request waits, is retried or is rejected.
package decision
