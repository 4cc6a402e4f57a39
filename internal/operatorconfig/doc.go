// Package operatorconfig reads the operator's files: the desired state of the fleet and the settings of the programs. The files are
// S-expressions. A form is a list that starts with a keyword, such as (floor 8).
//
// All errors in all files are reported at once, each with file, line, column and key. For an unknown word the error suggests the most
// similar known one. The package reads files only through a function that the caller provides. The keywords are a stable interface: they
// keep their spelling even where the code uses another term.
package operatorconfig
