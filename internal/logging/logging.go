// Package logging sets up the one structured logger of a process: JSON lines for machines, readable lines where
// standard error is a terminal. Messages are stable event names in dotted words; what varies is in the attributes. It
// knows nothing of who logs.
package logging

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"time"

	"github.com/lmittmann/tint"
	"github.com/mattn/go-isatty"
)

// Environment variables that choose the form and the least level.
const (
	FormVar  = "LB_LOG"       // json, text, or empty: by whether standard error is a terminal
	LevelVar = "LB_LOG_LEVEL" // debug, info (the default), warn or error
)

// Setup makes the default logger from the environment. An error names the variable at fault.
func Setup() error {
	l, err := New(os.Stderr, os.Getenv(FormVar), os.Getenv(LevelVar), isatty.IsTerminal(os.Stderr.Fd()))
	if err != nil {
		return err
	}
	slog.SetDefault(l)
	return nil
}

// New makes a logger that writes to w. An empty form is text on a terminal and JSON elsewhere.
func New(w io.Writer, form, level string, terminal bool) (*slog.Logger, error) {
	least := slog.LevelInfo
	if level != "" {
		if err := least.UnmarshalText([]byte(level)); err != nil {
			return nil, fmt.Errorf("%s: %q is none of debug, info, warn, error", LevelVar, level)
		}
	}
	if form == "" {
		form = "json"
		if terminal {
			form = "text"
		}
	}
	switch form {
	case "json":
		return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: least})), nil
	case "text":
		return slog.New(tint.NewHandler(w, &tint.Options{Level: least, TimeFormat: time.TimeOnly + ".000", NoColor: !terminal})), nil
	}
	return nil, fmt.Errorf("%s: %q is neither json nor text", FormVar, form)
}
