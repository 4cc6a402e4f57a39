// Package sexpr parses S-expressions into trees with positions and comments, and formats them. It knows no vocabulary of any file, and does
// no I/O. Trees may be used by several goroutines as long as none changes them.
package sexpr
