package replica

import (
	"fmt"
	"log/slog"
)

// raftLogger forwards raft's log to slog at a lower level, because raft's warnings report ordinary
// elections. It panics on raft's fatal messages: they report a broken invariant, after which the
// program must not continue.
type raftLogger struct{}

const raftEvent = "replica.raft"

func (raftLogger) Debug(...any)                {}
func (raftLogger) Debugf(string, ...any)       {}
func (raftLogger) Info(v ...any)               { slog.Debug(raftEvent, "text", fmt.Sprint(v...)) }
func (raftLogger) Infof(f string, v ...any)    { slog.Debug(raftEvent, "text", fmt.Sprintf(f, v...)) }
func (raftLogger) Warning(v ...any)            { slog.Debug(raftEvent, "text", fmt.Sprint(v...)) }
func (raftLogger) Warningf(f string, v ...any) { slog.Debug(raftEvent, "text", fmt.Sprintf(f, v...)) }
func (raftLogger) Error(v ...any)              { slog.Info(raftEvent, "text", fmt.Sprint(v...)) }
func (raftLogger) Errorf(f string, v ...any)   { slog.Info(raftEvent, "text", fmt.Sprintf(f, v...)) }
func (raftLogger) Fatal(v ...any)              { panic("replica: " + fmt.Sprint(v...)) }
func (raftLogger) Fatalf(f string, v ...any)   { panic("replica: " + fmt.Sprintf(f, v...)) }
func (raftLogger) Panic(v ...any)              { panic("replica: " + fmt.Sprint(v...)) }
func (raftLogger) Panicf(f string, v ...any)   { panic("replica: " + fmt.Sprintf(f, v...)) }
