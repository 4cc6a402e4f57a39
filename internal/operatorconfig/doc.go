// Package operatorconfig reads the operator's files: the desired state of the fleet, and the settings of the programs. The files are
// S-expressions; a form is a list that begins with a word of the file's vocabulary, as in (floor 8).
//
// All errors in all files are reported at once, each with file, line, column and key; for an unknown word the nearest known one is
// proposed. Files are read only through a function that the caller gives. The words of the files stay as they are.
package operatorconfig
