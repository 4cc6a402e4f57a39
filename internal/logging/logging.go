// Package logging sets up the logger of a process: JSON lines for machines, readable lines where standard error is a
// terminal. A message is a stable event name in dotted words, such as watch.lost; what varies stands in the attributes.
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

// Environment variables that choose the form and the lowest level.
const (
	FormVar  = "LB_LOG"       // json or text; empty: text on a terminal, else json
	LevelVar = "LB_LOG_LEVEL" // debug, info (the default), warn or error
)

const (
	formJSON = "json"
	formText = "text"

	// timeFormat shows milliseconds, because the events of one failure often stand within a second.
	timeFormat = time.TimeOnly + ".000"
)

// Setup makes the default logger from the environment. An error names the variable that has an invalid value.
func Setup() error {
	logger, err := New(os.Stderr, os.Getenv(FormVar), os.Getenv(LevelVar), isatty.IsTerminal(os.Stderr.Fd()))
	if err != nil {
		return err
	}
	slog.SetDefault(logger)
	return nil
}

// New makes a logger that writes to w; isTerminal tells whether w is a terminal. An empty form is text on a terminal and JSON
// elsewhere; an empty level is info. An error names the environment variable of the invalid value.
func New(w io.Writer, form, level string, isTerminal bool) (*slog.Logger, error) {
	minLevel := slog.LevelInfo
	if level != "" {
		if err := minLevel.UnmarshalText([]byte(level)); err != nil {
			return nil, fmt.Errorf("%s: %q is none of debug, info, warn, error", LevelVar, level)
		}
	}
	if form == "" {
		form = defaultForm(isTerminal)
	}
	switch form {
	case formJSON:
		return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: minLevel})), nil
	case formText:
		options := tint.Options{
			Level:      minLevel,
			TimeFormat: timeFormat,
			NoColor:    !isTerminal,
		}
		return slog.New(tint.NewTextHandler(w, &options)), nil
	}
	return nil, fmt.Errorf("%s: %q is neither json nor text", FormVar, form)
}

func defaultForm(isTerminal bool) string {
	if isTerminal {
		return formText
	}
	return formJSON
}
