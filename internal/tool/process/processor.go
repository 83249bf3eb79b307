package process

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// ticksPerSecond is the unit of processor time in /proc.
	ticksPerSecond = 100
	// userField and systemField are counted after the program's name.
	userField   = 11
	systemField = 12
)

// processorTime reads the user and system time of a process from /proc.
func processorTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return 0, fmt.Errorf("read processor time: %w", err)
	}
	// The name stands in parentheses and may contain spaces.
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= systemField {
		return 0, fmt.Errorf("read processor time: found %d fields", len(fields))
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
