// Package fakes provides fakes of the systems around a director: caches that answer every attempt without delay, unless one is set, and
// record it, and clients that send requests at a constant rate. They are for tests and quick starts and don't model real caches.
package fakes
