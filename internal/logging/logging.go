// Package logging sets up the structured logger of a process. It writes JSON lines for machines, and readable lines where
// standard error is a terminal. A message is the stable name of an event in dotted words, such as watch.lost; what varies
// from one line to the next is in the attributes.
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

// Environment variables that choose the form and the lowest level of what is logged.
const (
	// FormVar is json, text or empty. Empty is text where standard error is a terminal, and json elsewhere.
	FormVar = "LB_LOG"
	// LevelVar is debug, info, warn or error. Empty is info.
	LevelVar = "LB_LOG_LEVEL"
)

const (
	jsonForm = "json"
	textForm = "text"
)

// terminalTimeFormat shows milliseconds, because events of one failure follow each other within a second.
const terminalTimeFormat = time.TimeOnly + ".000"

// Setup makes slog's default logger from the environment. An error names the variable that has an invalid value.
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
	lowest := slog.LevelInfo
	if level != "" {
		if err := lowest.UnmarshalText([]byte(level)); err != nil {
			return nil, fmt.Errorf("%s: %q is none of debug, info, warn, error", LevelVar, level)
		}
	}
	if form == "" {
		form = defaultForm(isTerminal)
	}
	switch form {
	case jsonForm:
		return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: lowest})), nil
	case textForm:
		options := &tint.Options{
			Level:      lowest,
			TimeFormat: terminalTimeFormat,
			NoColor:    !isTerminal,
		}
		return slog.New(tint.NewTextHandler(w, options)), nil
	}
	return nil, fmt.Errorf("%s: %q is neither json nor text", FormVar, form)
}

func defaultForm(isTerminal bool) string {
	if isTerminal {
		return textForm
	}
	return jsonForm
}
