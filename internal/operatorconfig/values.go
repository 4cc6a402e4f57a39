package operatorconfig

import (
	"math"
	"net/netip"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"github.com/gaissmai/bart"

	"stairvane.org/stairvane/internal/sexpr"
)

// The methods in this file return readers of forms that hold values. A reader sets a variable, or leaves it unchanged after an error.

// onlyArg returns the only argument of a form, or nil after an error.
func (d *decoder) onlyArg(n *sexpr.Node, args []*sexpr.Node, key string) *sexpr.Node {
	if len(args) != 1 {
		d.report(n, key, "one value is required, got %d", len(args))
		return nil
	}
	return args[0]
}

// word returns the text of a node, which must be a nonempty atom or string.
func (d *decoder) word(n *sexpr.Node, key string) (string, bool) {
	s, ok := n.Text()
	if !ok || s == "" {
		d.report(n, key, "expected a word")
		return "", false
	}
	return s, true
}

// singleValue returns a reader of a form with one argument. It calls set with the argument and its text.
func (d *decoder) singleValue(set func(arg *sexpr.Node, text, key string)) formReader {
	return func(n *sexpr.Node, args []*sexpr.Node, key string) {
		if arg := d.onlyArg(n, args, key); arg != nil {
			text, _ := arg.Text()
			set(arg, text, key)
		}
	}
}

// text returns a reader of a word.
func (d *decoder) text(to *string) formReader {
	return d.singleValue(func(arg *sexpr.Node, _, key string) {
		if s, ok := d.word(arg, key); ok {
			*to = s
		}
	})
}

// number returns a reader of a number in a range.
func (d *decoder) number(to *float64, least, most float64) formReader {
	return d.singleValue(func(arg *sexpr.Node, text, key string) {
		v, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(v) || v < least || v > most {
			d.report(arg, key, "%q is not a number from %v to %v", text, least, most)
			return
		}
		*to = v
	})
}

// integer returns a reader of an integer in a range.
func (d *decoder) integer(to *int, least, most int) formReader {
	return d.singleValue(func(arg *sexpr.Node, text, key string) {
		v, err := strconv.Atoi(text)
		if err != nil || v < least || v > most {
			d.report(arg, key, "%q is not a whole number from %d to %d", text, least, most)
			return
		}
		*to = v
	})
}

// duration returns a reader of a duration in a range, with its unit, such as 500ms or 2m.
func (d *decoder) duration(to *time.Duration, least, most time.Duration) formReader {
	return d.singleValue(func(arg *sexpr.Node, text, key string) {
		v, err := time.ParseDuration(text)
		if err != nil || v < least || v > most {
			d.report(arg, key, "%q is not a duration from %v to %v with a unit, such as 500ms", text, least, most)
			return
		}
		*to = v
	})
}

// milliseconds returns a reader of a duration of at most maxRuleTime. It sets the variable in milliseconds.
func (d *decoder) milliseconds(to *int64, least time.Duration) formReader {
	return func(n *sexpr.Node, args []*sexpr.Node, key string) {
		v := time.Duration(*to) * time.Millisecond
		d.duration(&v, least, maxRuleTime)(n, args, key)
		*to = v.Milliseconds()
	}
}

// choice returns a reader of one of several words.
func (d *decoder) choice(to *string, words ...string) formReader {
	return d.singleValue(func(arg *sexpr.Node, text, key string) {
		if !slices.Contains(words, text) {
			d.reportUnknown(arg, key, "choice", text, words)
			return
		}
		*to = text
	})
}

// flag returns a reader of a form without arguments. The variable becomes true if the form is present.
func (d *decoder) flag(to *bool) formReader {
	return func(n *sexpr.Node, args []*sexpr.Node, key string) {
		*to = true
		if len(args) > 0 {
			d.report(n, key, "it takes no value")
		}
	}
}

// words returns a reader that appends any number of words to a list.
func (d *decoder) words(to *[]string) formReader {
	return func(_ *sexpr.Node, args []*sexpr.Node, key string) {
		for _, arg := range args {
			if s, ok := d.word(arg, key); ok {
				*to = append(*to, s)
			}
		}
	}
}

// path returns a reader of a path. A relative path is resolved against the folder.
func (d *decoder) path(to *string, folder string) formReader {
	return func(n *sexpr.Node, args []*sexpr.Node, key string) {
		var s string
		d.text(&s)(n, args, key)
		switch {
		case s == "":
		case filepath.IsAbs(s):
			*to = s
		default:
			*to = filepath.Join(folder, s)
		}
	}
}

// address returns a reader of an IP address with a port.
func (d *decoder) address(to *netip.AddrPort) formReader {
	return d.singleValue(func(arg *sexpr.Node, text, key string) {
		v, err := netip.ParseAddrPort(text)
		if err != nil {
			d.report(arg, key, "%q is not an IP address with a port, as in 10.1.0.9:9090", text)
			return
		}
		*to = v
	})
}

// networks returns a reader of any number of networks, which it stores in a new table.
func (d *decoder) networks(to **bart.Lite) formReader {
	return func(_ *sexpr.Node, args []*sexpr.Node, key string) {
		table := &bart.Lite{}
		for _, prefix := range d.prefixes(args, key) {
			table.Insert(prefix)
		}
		*to = table
	}
}

// prefixes returns the networks that args specify. An address without a prefix length is a network of that one address.
func (d *decoder) prefixes(args []*sexpr.Node, key string) (all []netip.Prefix) {
	for _, arg := range args {
		text, _ := arg.Text()
		prefix, err := parsePrefix(text)
		switch {
		case err != nil:
			d.report(arg, key, "%q is not a network, as in 10.1.0.0/24", text)
		case prefix.Masked() != prefix:
			d.report(arg, key, "%q has bits set beyond its prefix length; the network is %v", text, prefix.Masked())
		default:
			all = append(all, prefix)
		}
	}
	return all
}

func parsePrefix(text string) (netip.Prefix, error) {
	prefix, err := netip.ParsePrefix(text)
	if err == nil {
		return prefix, nil
	}
	addr, err := netip.ParseAddr(text)
	if err != nil {
		return netip.Prefix{}, err
	}
	return addr.Prefix(addr.BitLen())
}
