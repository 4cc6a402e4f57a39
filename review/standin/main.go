//go:build review

// Command standin holds the stand-ins of the review's cases: caches, a bulletin, clients and lines between processes. They use only the
// protocols that the operators' pages describe, and loopback addresses.
package main

import (
	"fmt"
	"net"
	"os"
)

func main() {
	commands := map[string]func([]string) error{
		"ports":    printPorts,
		"cache":    runCache,
		"bulletin": runBulletin,
		"ready":    awaitReady,
		"slow":     runSlowClients,
		"check":    runCheck,
		"lines":    runLines,
	}
	if len(os.Args) < 2 || commands[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin ports|cache|bulletin|ready|slow|check|lines ...")
		os.Exit(2)
	}
	if err := commands[os.Args[1]](os.Args[2:]); err != nil {
		fmt.Fprintln(os.Stderr, "standin", os.Args[1]+":", err)
		os.Exit(2)
	}
}

// printPorts prints free loopback ports, as many as its argument says.
func printPorts(args []string) error {
	n := 0
	if _, err := fmt.Sscan(args[0], &n); err != nil {
		return err
	}
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		defer l.Close() // all are held until the last is found, so that they differ
		fmt.Println(l.Addr().(*net.TCPAddr).Port)
	}
	return nil
}
