package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"stairvane.org/stairvane/internal/tools/fakes"
)

type standinCmd struct {
	Caches standinCachesCmd `cmd:"" help:"Listen as caches, hubs or the origin that answer everything at once."`
	Load   standinLoadCmd   `cmd:"" help:"Send requests to a director and count the answers. Ends with 1 if one is lost or doubled."`
}

type standinCachesCmd struct {
	Addresses []string `arg:"" help:"Where to listen."`
}

func (c standinCachesCmd) Run(s streams) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	for _, a := range c.Addresses {
		if _, err := fakes.NewCache(a); err != nil {
			return err
		}
	}
	fmt.Fprintf(s.out, "%d stand-ins listen\n", len(c.Addresses))
	<-signals
	return nil
}

type standinLoadCmd struct {
	output
	Director  string        `arg:"" help:"The director's address."`
	PerSecond int           `default:"100" help:"Requests a second."`
	Length    time.Duration `default:"5s" help:"For how long."`
}

func (c standinLoadCmd) Run(s streams) error {
	if c.PerSecond < 1 {
		return fmt.Errorf("--per-second: at least 1")
	}
	t, err := fakes.Load(c.Director, c.PerSecond, c.Length)
	if err != nil {
		return err
	}
	if c.Output == "json" {
		err = writeJSON(s.out, t)
	} else {
		_, err = fmt.Fprintf(s.out, "%d sent: %d served, %d refused, %d failed, %d doubled, %d lost\n", t.Sent, t.Served, t.Refused, t.Failed, t.Doubled, t.Lost)
	}
	if err == nil && t.Doubled+t.Lost > 0 {
		err = &exit{exitFailed, "an answer is missing or came twice"}
	}
	return err
}
