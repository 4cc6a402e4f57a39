package replica

import (
	"fmt"
	"log/slog"
)

// raftLogger passes raft's log to slog, a level lower than raft has it: its warnings report
// ordinary elections. What raft calls fatal is a broken invariant, on which the program must not go
// on.
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
