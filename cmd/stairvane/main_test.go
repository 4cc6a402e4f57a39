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

const patience = 10 * time.Second

// lines hands on what is logged.
type lines chan string

func (l lines) Write(b []byte) (int, error) {
	l <- string(b)
	return len(b), nil
}

// SIGHUP must not end the process: it moves the bulletin, from the last event on, and a faulty file changes nothing.
func TestHangupReloads(t *testing.T) {
	polls := make(chan string, 16)
	stop := make(chan struct{})
	bulletin := func(name string) string {
		s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			polls <- name + " after " + r.URL.Query().Get("after")
			<-stop
		}))
		t.Cleanup(s.Close)
		return s.Listener.Addr().String()
	}
	first, second := bulletin("first"), bulletin("second")
	defer close(stop)
	path := filepath.Join(t.TempDir(), "config.json")
	write := func(bulletin, seed string) {
		text := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","seed":%q,"bulletin":%q,
			"known":{"no":7,"items":[]},"settings":{"Grades":[{"Name":"clips"}]}}`, seed, bulletin)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	logged := make(lines, 64)
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
			case <-time.After(patience):
				t.Fatalf("nothing says %q", want)
			}
		}
	}
	hangUp := func() {
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	write(first, "1")
	ended := make(chan error, 1)
	go func() { ended <- runDirector() }()
	wait(polls, "first after 7")
	write(second, "no number")
	hangUp()
	wait(logged, `"reload.rejected","err":"seed`)
	for said, fault := range map[string]func() error{
		`"reload.rejected","err":"configuration: unexpected end`: func() error { return os.WriteFile(path, nil, 0o600) },
		`"reload.rejected","err":"configuration: `: func() error {
			return os.WriteFile(path, []byte(`{"name":"n0","listen":"127.0.0.1:0","se`), 0o600)
		},
		`"reload.rejected","err":"LB_CONFIG: `: func() error { return os.Remove(path) },
	} {
		if err := fault(); err != nil {
			t.Fatal(err)
		}
		hangUp()
		wait(logged, said)
	}
	write(second, "2")
	hangUp()
	wait(polls, "second after 7")
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
}
