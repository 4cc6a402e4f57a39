package scale

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTicks is the kernel's unit of CPU time in /proc: USER_HZ, which is 100 on all of Linux's architectures with Go.
const clockTicks = 100

const kibibyte = 1024

// usage is what a process has used so far.
type usage struct {
	at         time.Time
	cpu        time.Duration
	rss        int64 // bytes
	readBytes  int64 // by system calls, those on sockets and files
	writeBytes int64
	readCalls  int64
	writeCalls int64
}

// readUsage reads a process's use from /proc.
func readUsage(pid int) (u usage, err error) {
	folder := fmt.Sprintf("/proc/%d/", pid)
	stat, err := os.ReadFile(folder + "stat")
	if err != nil {
		return u, err
	}
	status, err := os.ReadFile(folder + "status")
	if err != nil {
		return u, err
	}
	io, err := os.ReadFile(folder + "io")
	if err != nil {
		return u, err
	}
	u.at = time.Now()
	if u.cpu, err = parseStat(string(stat)); err != nil {
		return u, err
	}
	u.rss = parseKey(string(status), "VmRSS") * kibibyte
	u.readBytes, u.writeBytes = parseKey(string(io), "rchar"), parseKey(string(io), "wchar")
	u.readCalls, u.writeCalls = parseKey(string(io), "syscr"), parseKey(string(io), "syscw")
	return u, nil
}

var errStat = errors.New("scale: malformed /proc/PID/stat")

// parseStat is the CPU time, user and system, of a line of /proc/PID/stat.
func parseStat(line string) (time.Duration, error) {
	_, rest, found := strings.Cut(line[strings.LastIndexByte(line, ')')+1:], " ") // a name may hold blanks and parentheses
	fields := strings.Fields(rest)
	const user, system = 11, 12 // after the name
	if !found || len(fields) <= system {
		return 0, errStat
	}
	userTicks, err := strconv.ParseInt(fields[user], 10, 64)
	if err != nil {
		return 0, errStat
	}
	systemTicks, err := strconv.ParseInt(fields[system], 10, 64)
	if err != nil {
		return 0, errStat
	}
	return time.Duration(userTicks+systemTicks) * time.Second / clockTicks, nil
}

// parseKey is the number after a key in lines of "key: number"; 0 if there is none.
func parseKey(text, key string) int64 {
	for line := range strings.Lines(text) {
		name, value, found := strings.Cut(line, ":")
		if !found || name != key {
			continue
		}
		fields := strings.Fields(value)
		if len(fields) == 0 {
			return 0
		}
		number, err := strconv.ParseInt(fields[0], 10, 64)
		if err != nil {
			return 0
		}
		return number
	}
	return 0
}

// machineMemory is the machine's memory in bytes; 0 if it can't be read.
func machineMemory() int64 {
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0
	}
	return parseKey(string(text), "MemTotal") * kibibyte
}

// machineBusy is the CPU time that all of the machine's processes have used.
func machineBusy() time.Duration {
	text, err := os.ReadFile("/proc/stat")
	if err != nil {
		return 0
	}
	line, _, _ := strings.Cut(string(text), "\n")
	return parseBusy(line)
}

// parseBusy adds up the first line of /proc/stat but for idle and waiting time.
func parseBusy(line string) time.Duration {
	const idle, waiting, counted = 3, 4, 8 // the fields after them are parts of others
	ticks := int64(0)
	for i, field := range strings.Fields(strings.TrimPrefix(line, "cpu ")) {
		if i == idle || i == waiting || i >= counted {
			continue
		}
		number, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return 0
		}
		ticks += number
	}
	return time.Duration(ticks) * time.Second / clockTicks
}

// loadAverage is the machine's load average of the last minute.
func loadAverage() float64 {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(text), " ")
	load, err := strconv.ParseFloat(first, 64)
	if err != nil {
		return 0
	}
	return load
}
