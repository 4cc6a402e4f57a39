// Package fakes holds fakes of the systems around a director: caches that answer everything at once and record what they were asked,
// and clients that put a steady load on a director. They serve tests and quick starts; they are no models of real caches.
package fakes
