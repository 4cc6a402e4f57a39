package store

import (
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

// fillDisk runs in a child process with a limit on its file size, which makes writes fail as on a full
// disk. It returns the exit status.
func fillDisk(path string) int {
	signal.Ignore(syscall.SIGXFSZ)
	s, err := Open(path, Options{})
	if err != nil {
		return 2
	}
	if err := unix.Setrlimit(unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: 1 << 18, Max: 1 << 30}); err != nil {
		return 3
	}
	written := 0
	for ; written < 100_000; written++ {
		if add(s, purge(written), purge(written)) != nil {
			break
		}
	}
	if written == 0 || written == 100_000 || s.Fleet().Revision != int64(2*written) {
		return 4
	}
	if add(s, purge(0)) == nil && s.Fleet().Revision != int64(2*written+1) {
		return 5
	}
	revision := s.Fleet().Revision
	// Once there is space again, writes succeed without a restart.
	if err := unix.Setrlimit(unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: 1 << 30, Max: 1 << 30}); err != nil {
		return 6
	}
	if err := add(s, purge(7)); err != nil || s.Fleet().Revision != revision+1 {
		fmt.Fprintln(os.Stderr, err)
		return 7
	}
	fmt.Println(revision + 1)
	return 0 // without Close, like a killed process
}

// Guards against a full disk that loses accepted changes, or after which the store needs a restart
// once there is space again.
func TestFullDiskLosesNoAcceptedChange(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "STAIRVANE_TEST_FULL="+path)
	cmd.Stderr = os.Stderr
	out, err := cmd.Output()
	check(t, err)
	s, err := Open(path, Options{})
	check(t, err)
	defer closeStore(t, s)
	if got := fmt.Sprintln(s.Fleet().Revision); got != string(out) {
		t.Errorf("%s events in the file, %s accepted", got, out)
	}
}
