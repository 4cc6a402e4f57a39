package main

import (
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

const testTimeout = 10 * time.Second

// lineWriter sends each log line to the channel.
type lineWriter chan string

func (l lineWriter) Write(b []byte) (int, error) {
	l <- string(b)
	return len(b), nil
}

// Guards against a SIGHUP that terminates the process, skips events, or applies a malformed file.
func TestSIGHUPReloadsConfiguration(t *testing.T) {
	polls := make(chan string, 16)
	stop := make(chan struct{})
	controlPlane := func(name string) string {
		s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			polls <- name + " after " + r.URL.Query().Get("after")
			<-stop
		}))
		t.Cleanup(s.Close)
		return s.Listener.Addr().String()
	}
	first, second := controlPlane("first"), controlPlane("second")
	defer close(stop)
	path := filepath.Join(t.TempDir(), "config.json")
	write := func(address, seed string) {
		text := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","seed":%q,"bulletin":%q,
			"known":{"no":7,"items":[]},"settings":{"Grades":[{"Name":"clips"}]}}`, seed, address)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	logged := make(lineWriter, 64)
	before := slog.Default()
	slog.SetDefault(slog.New(slog.NewJSONHandler(logged, nil)))
	defer slog.SetDefault(before)
	t.Setenv("LB_CONFIG", path)
	wait := func(from <-chan string, want string) {
		t.Helper()
		for {
			select {
			case got := <-from:
				if strings.Contains(got, want) {
					return
				}
			case <-time.After(testTimeout):
				t.Fatalf("no line with %q", want)
			}
		}
	}
	sendSIGHUP := func() {
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	write(first, "1")
	exited := make(chan error, 1)
	go func() { exited <- runDirector() }()
	wait(polls, "first after 7")
	write(second, "no number")
	sendSIGHUP()
	wait(logged, `"reload.rejected","err":"seed`)
	for event, breakFile := range map[string]func() error{
		`"reload.rejected","err":"configuration: unexpected end`: func() error { return os.WriteFile(path, nil, 0o600) },
		`"reload.rejected","err":"configuration: `: func() error {
			return os.WriteFile(path, []byte(`{"name":"n0","listen":"127.0.0.1:0","se`), 0o600)
		},
		`"reload.rejected","err":"LB_CONFIG: `: func() error { return os.Remove(path) },
	} {
		if err := breakFile(); err != nil {
			t.Fatal(err)
		}
		sendSIGHUP()
		wait(logged, event)
	}
	write(second, "2")
	sendSIGHUP()
	wait(polls, "second after 7")
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := <-exited; err != nil {
		t.Fatal(err)
	}
}
