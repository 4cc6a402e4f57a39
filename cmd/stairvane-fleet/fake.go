package main

import (
	"errors"
	"os"
	"os/signal"
	"syscall"
	"time"

	"stairvane.org/stairvane/internal/tools/fakes"
)

// fakeCmd runs fakes of the systems that a director communicates with.
type fakeCmd struct {
	Caches fakeCachesCmd `cmd:"" help:"Listen as caches, parent caches or the origin that answer everything at once."`
	Load   fakeLoadCmd   `cmd:"" help:"Send requests to a director and count the answers. Ends with 1 if one is lost or doubled."`
}

// fakeCachesCmd runs fake caches.
type fakeCachesCmd struct {
	Addresses []string `arg:"" help:"Where to listen."`
}

// Run serves until the process receives SIGTERM or SIGINT.
func (c fakeCachesCmd) Run(s streams) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	for _, address := range c.Addresses {
		if _, err := fakes.NewCache(address); err != nil {
			return err
		}
	}
	s.printf("%d fake caches are listening\n", len(c.Addresses))
	<-signals
	return nil
}

// fakeLoadCmd runs a fake client.
type fakeLoadCmd struct {
	outputFlags
	Director  string        `arg:"" help:"The director's address."`
	PerSecond int           `default:"100" help:"Requests a second."`
	Length    time.Duration `default:"5s" help:"For how long."`
}

// Run sends requests and counts the answers.
func (c fakeLoadCmd) Run(s streams) error {
	if c.PerSecond < 1 {
		return errors.New("--per-second must be at least 1")
	}
	tally, err := fakes.Load(c.Director, c.PerSecond, c.Length)
	if err != nil {
		return err
	}
	if c.json() {
		if err := writeJSON(s.out, tally); err != nil {
			return err
		}
	} else {
		s.printf("%d sent: %d served, %d refused, %d failed, %d doubled, %d lost\n",
			tally.Sent, tally.Served, tally.Rejected, tally.Failed, tally.Duplicated, tally.Lost)
	}
	if tally.Duplicated+tally.Lost > 0 {
		return &exitError{exitFailed, "an answer is missing or was received twice"}
	}
	return nil
}
