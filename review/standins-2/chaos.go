//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() { cases["chaos"] = chaos }

type world struct {
	mu        sync.Mutex
	purgedAt  map[string]time.Time // told, by object or g+group
	issuedAt  map[string]int64
	out       map[string]map[*attempt]bool
	sent      map[string]string // rid -> object/part
	drainedAt map[string]time.Time
	firstRun  map[string]time.Time // rid of stock-report: at
	broken    int
	attempts  int
	copies    map[string]int64 // cache/object/part -> since
	history   map[string][]string
}

func (w *world) violation(format string, args ...any) {
	w.broken++
	rec.printf("VIOLATION: "+format, args...)
}

func chaos() int {
	seed := uint64(time.Now().UnixNano())
	if s := os.Getenv("SEED"); s != "" {
		seed, _ = strconv.ParseUint(s, 10, 64)
	}
	rec.printf("seed %d", seed)
	length, _ := time.ParseDuration(os.Getenv("LENGTH"))
	if length == 0 {
		length = 40 * time.Second
	}
	w := &world{purgedAt: map[string]time.Time{}, issuedAt: map[string]int64{}, out: map[string]map[*attempt]bool{}, sent: map[string]string{},
		drainedAt: map[string]time.Time{}, firstRun: map[string]time.Time{}, copies: map[string]int64{}, history: map[string][]string{}}
	unsafe := os.Getenv("UNSAFE") == "1"
	joins := os.Getenv("JOINS") != "0"
	handle := func(c *cache, a *attempt) {
		object, group := a.Fields["asset"], ""
		key := c.Name + "/" + object + "/" + a.Fields["slice"]
		now := time.Now()
		w.mu.Lock()
		w.attempts++
		if n, err := strconv.ParseUint(object, 16, 64); err == nil {
			group = fmt.Sprint("g", n%256)
		}
		w.history[a.ID] = append(w.history[a.ID], fmt.Sprintf("%.3f %s %v", now.Sub(rec.start).Seconds(), c.Name, a.Fields))
		if w.sent[a.ID] != object+"/"+a.Fields["slice"] {
			w.violation("attempt %s nobody sent: %v", a.ID, a.Fields)
		}
		if w.out[a.ID] == nil {
			w.out[a.ID] = map[*attempt]bool{}
		}
		for o := range w.out[a.ID] {
			if !o.isGivenUp() && !o.conn.closed.Load() {
				w.violation("two attempts of %s out at once", a.ID)
			}
		}
		w.out[a.ID][a] = true
		if t, ok := w.drainedAt[c.Name]; ok && now.Sub(t) > 550*time.Millisecond {
			w.violation("attempt at %s %v after it was told to drain", c.Name, now.Sub(t))
		}
		if t, ok := w.drainedAt[a.Fields["up"]]; ok && now.Sub(t) > 550*time.Millisecond {
			w.violation("source %s %v after it was told to drain", a.Fields["up"], now.Sub(t))
		}
		class := a.Fields["sort"]
		if class == "stock-report" {
			if t, ok := w.firstRun[a.ID]; ok {
				if unsafe {
					w.violation("unsafe request %s sent again", a.ID)
				} else if now.Sub(t) > 3050*time.Millisecond {
					w.violation("keyed request %s sent again %v after the first", a.ID, now.Sub(t))
				}
			}
		}
		maxAge, _ := strconv.ParseInt(a.Fields["cap"], 10, 64)
		if maxAge == 0 && class == "pictures" {
			maxAge = 12000
		}
		since, held := w.copies[key]
		if held && maxAge > 0 && now.UnixMilli()-since > maxAge {
			held = false
		}
		w.mu.Unlock()
		end := func() {
			w.mu.Lock()
			delete(w.out[a.ID], a)
			w.mu.Unlock()
		}
		ran := func() {
			w.mu.Lock()
			if class == "stock-report" {
				if _, ok := w.firstRun[a.ID]; !ok {
					w.firstRun[a.ID] = now
				}
			}
			w.mu.Unlock()
		}
		p := rand.Float64()
		w.mu.Lock()
		w.history[a.ID] = append(w.history[a.ID], fmt.Sprintf("p=%.3f", p))
		w.mu.Unlock()
		switch {
		case p < 0.03:
			end()
			a.answer("BUSY", "-", nil)
			return
		case p < 0.05:
			ran()
			end()
			a.answer("ERR", "n=turned_away", nil)
			return
		case p < 0.07: // never answered
			ran()
			return
		case p < 0.075:
			ran()
			end()
			a.conn.Close()
			return
		case p < 0.09:
			ran()
			time.Sleep(time.Duration(rand.IntN(2500)) * time.Millisecond)
		}
		ran()
		note := "local"
		if class == "stock-report" {
			time.Sleep(time.Duration(20+rand.IntN(60)) * time.Millisecond)
			end()
			a.answer("OK", fmt.Sprintf("n=pulled,rev=1,since=%d", time.Now().UnixMilli()), []byte(object+"/"+a.Fields["slice"]))
			return
		}
		if !held {
			if a.Fields["up"] == "" {
				end()
				a.answer("MISS", "-", nil)
				return
			}
			since = time.Now().UnixMilli()
			note = "pulled"
			time.Sleep(time.Duration(20+rand.IntN(200)) * time.Millisecond)
			w.mu.Lock()
			w.copies[key] = since
			w.mu.Unlock()
		} else {
			time.Sleep(time.Duration(rand.IntN(20)) * time.Millisecond)
		}
		word, body := "OK", []byte(fmt.Sprintf("%s/%s@%d@%d", object, a.Fields["slice"], since, a.At.UnixNano()))
		rev := fmt.Sprintf("%x", since)
		if a.Fields["inm"] == rev {
			word, body = "SAME", nil
		}
		end()
		_ = group
		a.answer(word, fmt.Sprintf("n=%s,rev=%s,since=%d,l=util:0.3;inflight:3;x1:0.2;x0:0.6", note, rev, since), body)
	}
	bulletins := newBulletin()
	seq := 1
	entry := map[string]map[string]any{}
	all := map[string]*cache{}
	var boxes []string
	add := func(name, site, class string) {
		c := newCache(name, "127.0.0.1:0", handle)
		all[name] = c
		entry[name] = host(c, site, class, "in_service")
	}
	for i := range 8 {
		name := fmt.Sprintf("s-%08x", 0x1000+i*977)
		boxes = append(boxes, name)
		add(name, "edge-1", "small-box")
	}
	add("s-00009001", "north", "parent")
	add("s-00009002", "south", "parent")
	add("s-0000f000", "north", "origin")
	var list []any
	for _, e := range entry {
		list = append(list, e)
	}
	bulletins.add("roster", map[string]any{"seq": seq, "whole": true, "hosts": list})
	change := func(name, health string) {
		seq++
		e := map[string]any{}
		for k, v := range entry[name] {
			e[k] = v
		}
		e["health"] = health
		entry[name] = e
		bulletins.add("roster", map[string]any{"seq": seq, "whole": false, "hosts": []any{e}})
	}
	settings := steppeSettings()
	settings["FamilyInfo"].(map[string]any)["Joins"] = joins
	if unsafe {
		settings["Grades"].([]any)[2].(map[string]any)["Effect"] = "unsafe"
	}
	program := writeFile("director.scm", []byte("(director (cores 4) (divide connection))\n"))
	type dir struct {
		name, listen string
		p            *process
		mu           sync.Mutex
		down         bool
	}
	var dirs []*dir
	launch := func(d *dir) {
		args := []string{}
		if d.name == "n3" {
			args = []string{"director", program}
		}
		d.p = start(d.name, []string{"LB_CONFIG=" + directorConfig(d.name, d.listen, bulletins, settings)}, args...)
		waitFor(d.name+" ready", 5*time.Second, func() bool { return heartbeat(d.listen) })
	}
	for i := range 3 {
		d := &dir{name: fmt.Sprintf("n%d", i+1), listen: freeAddr()}
		launch(d)
		dirs = append(dirs, d)
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	counts := map[string]int{}
	objects := make([]string, 300)
	for i := range objects {
		objects[i] = fmt.Sprintf("%016x", rand.Uint64())
	}
	loader := func(d *dir) {
		defer wg.Done()
		for {
			select {
			case <-stop:
				return
			default:
			}
			d.mu.Lock()
			down := d.down
			d.mu.Unlock()
			if down {
				time.Sleep(20 * time.Millisecond)
				continue
			}
			c, err := connect(d.listen)
			if err != nil {
				time.Sleep(20 * time.Millisecond)
				continue
			}
			var inner sync.WaitGroup
			for range 10 + rand.IntN(60) {
				d.mu.Lock()
				down := d.down
				d.mu.Unlock()
				if down {
					break
				}
				class, budget := "clips", 6000
				switch p := rand.Float64(); {
				case p < 0.4:
					class, budget = "pictures", 2500
				case p < 0.5:
					class, budget = "stock-report", 3000
				}
				object := objects[int(float64(len(objects))*rand.Float64()*rand.Float64())]
				part := fmt.Sprint(rand.IntN(3))
				n, _ := strconv.ParseUint(object, 16, 64)
				id := randomID()
				fields := []string{"method", class, "rid", id, "budget", fmt.Sprint(budget), "obj", object, "part", part, "group", fmt.Sprint(n % 256), "mem", fmt.Sprint(20 + rand.IntN(800))}
				if class == "stock-report" {
					fields = append(fields, "token", randomID()+randomID())
				}
				w.mu.Lock()
				w.sent[id] = object + "/" + part
				w.mu.Unlock()
				at := time.Now()
				done := c.submit(nil, fields...)
				inner.Add(1)
				go func() {
					defer inner.Done()
					var r result
					select {
					case r = <-done:
					case <-time.After(time.Duration(budget+150) * time.Millisecond):
						w.mu.Lock()
						w.violation("%s: request %s class %s never answered in time, sent %.3f: %v", d.name, id, class, at.Sub(rec.start).Seconds(), w.history[id])
						w.mu.Unlock()
						return
					}
					w.mu.Lock()
					defer w.mu.Unlock()
					counts[r.Kind+" "+class]++
					if r.Kind == "lost" {
						w.violation("%s: request %s of %v ago lost", d.name, id, time.Since(at))
					}
					if r.Kind != "served" {
						if r.Kind == "refused" && unsafe && class == "stock-report" {
							if _, ran := w.firstRun[id]; ran {
								w.violation("unsafe request %s refused though it ran", id)
							}
						}
						return
					}
					var since, sentAt int64
					var got string
					if class == "stock-report" {
						got = string(r.Body)
					} else {
						var o, p string
						if _, err := fmt.Sscanf(string(r.Body), "%16s/%1s@%d@%d", &o, &p, &since, &sentAt); err != nil {
							w.violation("%s: body %q", id, r.Body)
							return
						}
						got = o + "/" + p
						for _, key := range []string{object, fmt.Sprint("g", n%256)} {
							t, ok := w.purgedAt[key]
							if ok && time.Unix(0, sentAt).Sub(t) > 350*time.Millisecond && since < w.issuedAt[key] {
								w.violation("%s: %s served a copy of %d, purge of %d told %v before the attempt", d.name, id, since, w.issuedAt[key], time.Unix(0, sentAt).Sub(t))
							}
						}
					}
					if got != object+"/"+part {
						w.violation("%s: foreign body %q for %s/%s", id, r.Body, object, part)
					}
				}()
				time.Sleep(time.Duration(rand.IntN(30)) * time.Millisecond)
			}
			inner.Wait()
			if c.dup > 0 {
				w.mu.Lock()
				w.violation("%s: %d second answers", d.name, c.dup)
				w.mu.Unlock()
			}
			c.conn.Close()
		}
	}
	for _, d := range dirs {
		for range 6 {
			wg.Add(1)
			go loader(d)
		}
	}
	wg.Add(1)
	go func() { // purges
		defer wg.Done()
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(rand.IntN(500)) * time.Millisecond):
			}
			object := objects[int(float64(len(objects))*rand.Float64()*rand.Float64())]
			issued := time.Now().UnixMilli()
			key := object
			if rand.Float64() < 0.2 {
				g := rand.IntN(256)
				key = fmt.Sprint("g", g)
				bulletins.add("recall", map[string]any{"lot": g, "issued": issued})
			} else {
				bulletins.add("recall", map[string]any{"item": object, "issued": issued})
			}
			w.mu.Lock()
			w.purgedAt[key], w.issuedAt[key] = time.Now(), issued
			w.mu.Unlock()
		}
	}()
	deadline := time.Now().Add(length)
	for time.Now().Before(deadline) {
		time.Sleep(time.Duration(500+rand.IntN(1500)) * time.Millisecond)
		switch rand.IntN(5) {
		case 0: // drain and return
			name := boxes[rand.IntN(len(boxes))]
			rec.printf("drain %s", name)
			change(name, "terminating")
			w.mu.Lock()
			w.drainedAt[name] = time.Now()
			w.mu.Unlock()
			time.AfterFunc(time.Duration(1000+rand.IntN(2000))*time.Millisecond, func() {
				w.mu.Lock()
				delete(w.drainedAt, name)
				w.mu.Unlock()
				change(name, "in_service")
			})
			time.Sleep(3100 * time.Millisecond)
		case 1: // a box dies and comes back
			name := boxes[rand.IntN(len(boxes))]
			c := all[name]
			addr := c.addr()
			rec.printf("%s dies", name)
			c.die()
			time.Sleep(800 * time.Millisecond)
			w.mu.Lock()
			for k := range w.copies {
				if len(k) > len(name) && k[:len(name)] == name {
					delete(w.copies, k)
				}
			}
			w.mu.Unlock()
			c.listen(addr)
		case 2: // planned restart
			d := dirs[rand.IntN(len(dirs))]
			rec.printf("restart of %s", d.name)
			d.p.signal(syscall.SIGTERM)
			time.Sleep(200 * time.Millisecond)
			d.mu.Lock()
			d.down = true
			d.mu.Unlock()
			if !d.p.waitEnd(8 * time.Second) {
				w.mu.Lock()
				w.violation("%s does not end", d.name)
				w.mu.Unlock()
				d.p.signal(syscall.SIGKILL)
				d.p.waitEnd(time.Second)
			}
			launch(d)
			d.mu.Lock()
			d.down = false
			d.mu.Unlock()
		case 3: // the bulletin moves
			d := dirs[rand.IntN(len(dirs))]
			rec.printf("SIGHUP of %s", d.name)
			directorConfig(d.name, d.listen, bulletins, settings)
			d.p.signal(syscall.SIGHUP)
		case 4:
			rec.printf("bulletin breaks")
			bulletins.breakAll()
		}
		for _, d := range dirs {
			if !d.p.isRunning() {
				w.mu.Lock()
				w.violation("%s has ended", d.name)
				w.mu.Unlock()
				return w.broken
			}
		}
	}
	close(stop)
	wg.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	rec.printf("counts %v, attempts %d", counts, w.attempts)
	fmt.Println(counts, w.attempts)
	return w.broken
}
