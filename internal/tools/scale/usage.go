package scale

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTicks is the number of units of CPU time in /proc per second: USER_HZ, which is 100 on all Linux architectures that Go supports.
const clockTicks = 100

const kibibyte = 1024

// usage is the cumulative resource usage of a process, with its current memory.
type usage struct {
	readAt     time.Time
	cpu        time.Duration
	rss        int64 // bytes
	readBytes  int64 // by system calls on sockets and files
	writeBytes int64
	readCalls  int64
	writeCalls int64
}

// readUsage reads the resource usage of a process from /proc.
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
	u.readAt = time.Now()
	if u.cpu, err = parseStat(string(stat)); err != nil {
		return u, err
	}
	u.rss = parseKey(string(status), "VmRSS") * kibibyte
	u.readBytes, u.writeBytes = parseKey(string(io), "rchar"), parseKey(string(io), "wchar")
	u.readCalls, u.writeCalls = parseKey(string(io), "syscr"), parseKey(string(io), "syscw")
	return u, nil
}

var errMalformedStat = errors.New("scale: malformed /proc/PID/stat")

// parseStat returns the user and system CPU time in a line of /proc/PID/stat.
func parseStat(line string) (time.Duration, error) {
	_, rest, found := strings.Cut(line[strings.LastIndexByte(line, ')')+1:], " ") // the process name may contain spaces and parentheses
	fields := strings.Fields(rest)
	const user, system = 11, 12 // indexes of the fields after the name
	if !found || len(fields) <= system {
		return 0, errMalformedStat
	}
	userTicks, err := strconv.ParseInt(fields[user], 10, 64)
	if err != nil {
		return 0, errMalformedStat
	}
	systemTicks, err := strconv.ParseInt(fields[system], 10, 64)
	if err != nil {
		return 0, errMalformedStat
	}
	return time.Duration(userTicks+systemTicks) * time.Second / clockTicks, nil
}

// parseKey returns the number after a key in lines of "key: number"; 0 if there is none.
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

// machineMemory returns the machine's memory in bytes; 0 if it can't be read.
func machineMemory() int64 {
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0
	}
	return parseKey(string(text), "MemTotal") * kibibyte
}

// machineBusy returns the CPU time that all processes of the machine have used since it started; 0 if it can't be read.
func machineBusy() time.Duration {
	text, err := os.ReadFile("/proc/stat")
	if err != nil {
		return 0
	}
	line, _, _ := strings.Cut(string(text), "\n")
	return parseBusy(line)
}

// parseBusy returns the sum of the CPU times in the first line of /proc/stat, except idle and I/O wait time.
func parseBusy(line string) time.Duration {
	const idle, waiting, counted = 3, 4, 8 // the fields from 8 on are included in others
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

// loadAverage returns the machine's load average of the last minute; 0 if it can't be read.
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
