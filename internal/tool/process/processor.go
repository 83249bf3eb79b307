package process

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// ticksPerSecond is the number of clock ticks per second in
	// /proc/PID/stat.
	ticksPerSecond = 100
	// userField and systemField are the indices of the user and the system time
	// in /proc/PID/stat, counted from the first field after the program's name.
	userField   = 11
	systemField = 12
)

// processorTime returns the sum of the user and the system time of a process,
// which it reads from /proc.
func processorTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return 0, fmt.Errorf("read processor time: %w", err)
	}
	// The program's name is enclosed in parentheses and may contain spaces.
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= systemField {
		return 0, fmt.Errorf("read processor time: found only %d fields after the program's name in /proc/PID/stat", len(fields))
	}
	var ticks int64
	for _, field := range []string{fields[userField], fields[systemField]} {
		n, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return 0, fmt.Errorf("read processor time: %w", err)
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond, nil
}
