// Package opfile reads the operator's files: the wished fleet, and what the program is to be. It turns forms into checked
// values, tells all faults of all files at once with file, line, column and key, and proposes the nearest known word. It
// reads files only through a function that it is given.
package operatorconfig

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/agnivade/levenshtein"

	"stairvane.org/stairvane/internal/sexpr"
)

// decoder collects faults.
type decoder struct{ faults sexpr.Faults }

func (d *decoder) fault(n *sexpr.Node, key, format string, args ...any) {
	d.faults = append(d.faults, sexpr.Fault{
		File: n.Pos.Filename, Line: n.Pos.Line, Col: n.Pos.Column, Key: key, Message: fmt.Sprintf(format, args...),
	})
}

// unknown is a fault with the nearest of the known words, if one is near.
func (d *decoder) unknown(n *sexpr.Node, key, what, word string, known []string) {
	d.fault(n, key, "unknown %s %q", what, word)
	best, least := "", max(2, len(word)/3)+1
	for _, k := range known {
		if dist := levenshtein.ComputeDistance(word, k); dist < least {
			best, least = k, dist
		}
	}
	if best != "" {
		d.faults[len(d.faults)-1].Hint = strconv.Quote(best)
	}
}

// form is one kind of list that may stand in a place.
type form struct {
	name string
	many bool
	need bool
	read func(n *sexpr.Node, args []*sexpr.Node, key string)
}

// forms reads lists, each by its head. owner is where missing ones are told; prefix names the place in keys.
func (d *decoder) forms(owner *sexpr.Node, prefix string, items []*sexpr.Node, known []form) {
	seen := map[string]*sexpr.Node{}
	for _, n := range items {
		head := n.Head()
		if head == "" {
			d.fault(n, strings.TrimSuffix(prefix, "."), "a form in parentheses is wanted here, as in (%s ...)", known[0].name)
			continue
		}
		i := slices.IndexFunc(known, func(f form) bool { return f.name == head })
		if i < 0 {
			names := make([]string, len(known))
			for k := range known {
				names[k] = known[k].name
			}
			d.unknown(n, strings.TrimSuffix(prefix, "."), "word", head, names)
			continue
		}
		if first := seen[head]; first != nil && !known[i].many {
			d.fault(n, prefix+head, "given twice; first on line %d", first.Pos.Line)
			continue
		}
		seen[head] = n
		known[i].read(n, n.Words()[1:], prefix+head)
	}
	for _, f := range known {
		if f.need && seen[f.name] == nil && owner != nil {
			d.fault(owner, prefix+f.name, "missing")
		}
	}
}

// one is the only argument of a form; nil after a fault.
func (d *decoder) one(n *sexpr.Node, args []*sexpr.Node, key string) *sexpr.Node {
	if len(args) != 1 {
		d.fault(n, key, "one value is wanted, %d are given", len(args))
		return nil
	}
	return args[0]
}

func (d *decoder) word(n *sexpr.Node, key string) (string, bool) {
	s, ok := n.Text()
	if !ok || s == "" {
		d.fault(n, key, "a word is wanted here")
		return "", false
	}
	return s, true
}

// Setters: each reads the one argument of a form into a variable, and leaves it alone after a fault.

func (d *decoder) text(to *string) func(*sexpr.Node, []*sexpr.Node, string) {
	return func(n *sexpr.Node, args []*sexpr.Node, key string) {
		if a := d.one(n, args, key); a != nil {
			if s, ok := d.word(a, key); ok {
				*to = s
			}
		}
	}
}

func (d *decoder) number(to *float64, least, most float64) func(*sexpr.Node, []*sexpr.Node, string) {
	return func(n *sexpr.Node, args []*sexpr.Node, key string) {
		a := d.one(n, args, key)
		if a == nil {
			return
		}
		s, _ := a.Text()
		v, err := strconv.ParseFloat(s, 64)
		if err != nil || math.IsNaN(v) || v < least || v > most {
			d.fault(a, key, "%q is not a number from %v to %v", s, least, most)
			return
		}
		*to = v
	}
}

func (d *decoder) integer(to *int, least, most int) func(*sexpr.Node, []*sexpr.Node, string) {
	return func(n *sexpr.Node, args []*sexpr.Node, key string) {
		a := d.one(n, args, key)
		if a == nil {
			return
		}
		s, _ := a.Text()
		v, err := strconv.Atoi(s)
		if err != nil || v < least || v > most {
			d.fault(a, key, "%q is not a whole number from %d to %d", s, least, most)
			return
		}
		*to = v
	}
}

// duration reads a time with its unit, as in 500ms or 2m.
func (d *decoder) duration(to *time.Duration, least, most time.Duration) func(*sexpr.Node, []*sexpr.Node, string) {
	return func(n *sexpr.Node, args []*sexpr.Node, key string) {
		a := d.one(n, args, key)
		if a == nil {
			return
		}
		s, _ := a.Text()
		v, err := time.ParseDuration(s)
		if err != nil || v < least || v > most {
			d.fault(a, key, "%q is not a time from %v to %v with its unit, as in 500ms", s, least, most)
			return
		}
		*to = v
	}
}

// milliseconds is duration for figures that are kept as such.
func (d *decoder) milliseconds(to *int64, least, most time.Duration) func(*sexpr.Node, []*sexpr.Node, string) {
	return func(n *sexpr.Node, args []*sexpr.Node, key string) {
		v := time.Duration(*to) * time.Millisecond
		d.duration(&v, least, most)(n, args, key)
		*to = v.Milliseconds()
	}
}

func (d *decoder) choice(to *string, words ...string) func(*sexpr.Node, []*sexpr.Node, string) {
	return func(n *sexpr.Node, args []*sexpr.Node, key string) {
		a := d.one(n, args, key)
		if a == nil {
			return
		}
		if s, _ := a.Text(); slices.Contains(words, s) {
			*to = s
		} else {
			d.unknown(a, key, "choice", s, words)
		}
	}
}

func (d *decoder) address(to *netip.AddrPort) func(*sexpr.Node, []*sexpr.Node, string) {
	return func(n *sexpr.Node, args []*sexpr.Node, key string) {
		a := d.one(n, args, key)
		if a == nil {
			return
		}
		s, _ := a.Text()
		v, err := netip.ParseAddrPort(s)
		if err != nil {
			d.fault(a, key, "%q is not an IP address with a port, as in 10.1.0.9:9090", s)
			return
		}
		*to = v
	}
}

func (d *decoder) words(to *[]string) func(*sexpr.Node, []*sexpr.Node, string) {
	return func(n *sexpr.Node, args []*sexpr.Node, key string) {
		for _, a := range args {
			if s, ok := d.word(a, key); ok {
				*to = append(*to, s)
			}
		}
	}
}

// prefixes reads networks; a lone address is one of its own.
func (d *decoder) prefixes(args []*sexpr.Node, key string) (all []netip.Prefix) {
	for _, a := range args {
		s, _ := a.Text()
		p, err := netip.ParsePrefix(s)
		if err != nil {
			var addr netip.Addr
			if addr, err = netip.ParseAddr(s); err == nil {
				p, err = addr.Prefix(addr.BitLen())
			}
		}
		switch {
		case err != nil:
			d.fault(a, key, "%q is not a network, as in 10.1.0.0/24", s)
		case p.Masked() != p:
			d.fault(a, key, "%q has bits set beyond its length; the network is %v", s, p.Masked())
		default:
			all = append(all, p)
		}
	}
	return all
}
