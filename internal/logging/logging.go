// Package logging sets up the logger of a process. It writes JSON lines, or human-readable lines if standard error is a
// terminal. The message of a record is a stable event name of words separated by dots, such as watch.lost; the details
// are attributes.
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

// Environment variables that select the output format and the minimum level.
const (
	FormatVar = "LB_LOG"       // json or text; if empty, text on a terminal and json elsewhere
	LevelVar  = "LB_LOG_LEVEL" // debug, info (the default), warn or error
)

const (
	formatJSON = "json"
	formatText = "text"

	// timeFormat includes milliseconds because the events of a failure often occur within a second.
	timeFormat = time.TimeOnly + ".000"
)

// Setup sets the default logger as the environment variables say. The error names the variable that has an invalid value.
func Setup() error {
	logger, err := New(os.Stderr, os.Getenv(FormatVar), os.Getenv(LevelVar), isatty.IsTerminal(os.Stderr.Fd()))
	if err != nil {
		return err
	}
	slog.SetDefault(logger)
	return nil
}

// New returns a logger that writes to w. isTerminal reports whether w is a terminal. An empty format selects text on a
// terminal and JSON elsewhere; an empty level selects info. The error names the environment variable of the invalid value.
func New(w io.Writer, format, level string, isTerminal bool) (*slog.Logger, error) {
	minLevel := slog.LevelInfo
	if level != "" {
		if err := minLevel.UnmarshalText([]byte(level)); err != nil {
			return nil, fmt.Errorf("%s: %q is not one of debug, info, warn, error", LevelVar, level)
		}
	}
	if format == "" {
		format = defaultFormat(isTerminal)
	}
	switch format {
	case formatJSON:
		return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: minLevel})), nil
	case formatText:
		options := tint.Options{
			Level:      minLevel,
			TimeFormat: timeFormat,
			NoColor:    !isTerminal,
		}
		return slog.New(tint.NewTextHandler(w, &options)), nil
	}
	return nil, fmt.Errorf("%s: %q is neither json nor text", FormatVar, format)
}

func defaultFormat(isTerminal bool) string {
	if isTerminal {
		return formatText
	}
	return formatJSON
}
