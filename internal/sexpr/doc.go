// Package sexpr parses S-expressions into trees that keep positions and comments, and formats such trees. It does not depend on the
// vocabulary of any file and does no I/O. Goroutines may share a tree as long as none of them modifies it.
package sexpr
