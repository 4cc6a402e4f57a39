//go:build review

package main

import (
	"flag"
	"net"
	"net/http"
	"strconv"
	"time"
)

// runBulletin is a bulletin that has nothing to tell beyond what the directors' configurations hold.
func runBulletin(args []string) error {
	set := flag.NewFlagSet("bulletin", flag.ExitOnError)
	listen := set.String("listen", "", "address")
	last := set.Int("no", 1, "number of the last event")
	if err := set.Parse(args); err != nil {
		return err
	}
	l, err := net.Listen("tcp", *listen)
	if err != nil {
		return err
	}
	answer := `{"no":` + strconv.Itoa(*last) + `,"items":[]}`
	return http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ms, _ := strconv.Atoi(r.URL.Query().Get("patience"))
		select {
		case <-time.After(time.Duration(min(ms, 5000)) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		_, _ = w.Write([]byte(answer))
	}))
}
