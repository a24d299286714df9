//go:build review

// Program 1 shows that the workers of a service that was out of the configuration for a minute are ignored when it is
// declared again, although they ran and registered all the time.
package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/platform"
	"github.com/dunlinquay/dunlinquay/review/harness"
)

const (
	first  ident.Service = "first"
	second ident.Service = "second"
	host                 = "site.test"
	key                  = "key-1"
	// without is how long the configuration has no route to the second service.
	without = 54 * time.Second
	// applyTime is the bound for a configuration to apply (configApplyMs), measured is how long requests are counted.
	applyTime = 2 * time.Second
	measured  = 25 * time.Second
	// enough is how many requests on added routes the rule wants.
	enough = 20
)

func main() {
	binary := flag.String("binary", "", "the program")
	record := flag.String("record", "record.txt", "the record")
	flag.Parse()
	os.Exit(run(*binary, *record, os.Getenv("TROUBLE") != "0"))
}

func run(binary, recordFile string, trouble bool) int {
	record, err := harness.NewRecord(recordFile)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	halls := []ident.Hall{"hall-0", "hall-1", "hall-2"}
	site, err := harness.NewSite(record, &harness.Plan{Binary: binary, Controls: 5, Entries: 3, Halls: halls})
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer site.End()
	if err := site.Start(); err != nil {
		fmt.Println(err)
		return 2
	}
	var runs atomic.Int64
	for i := range 6 {
		w := &harness.Worker{ID: "i-" + strconv.Itoa(i), Service: first, Hall: halls[i%len(halls)], Slots: 6, Work: 30 * time.Millisecond}
		if i >= 3 {
			w.Service = second
			w.OnRun = func(*harness.Worker, string) { runs.Add(1) }
			w.OnBeat = func(w *harness.Worker, acknowledged bool) {
				record.Printf("heartbeat of worker %s (%s): acknowledged %v", w.ID, w.Service, acknowledged)
			}
		}
		if err := site.StartWorker(w); err != nil {
			fmt.Println(err)
			return 2
		}
		defer w.Close()
	}
	if site.Replace(1, config(1, true, "/second/"), 30*time.Second) == nil || !site.Ready(30*time.Second) {
		fmt.Println("the site does not start")
		return 2
	}
	// Both services serve at first.
	if !serves(site, "/first/") || !serves(site, "/second/") {
		fmt.Println("a service does not serve at first")
		return 2
	}
	// Version 2 has no route to the second service. In the trouble it does not declare that service either.
	if site.Replace(2, config(2, !trouble, ""), 10*time.Second) == nil {
		fmt.Println("version 2 is not acknowledged")
		return 2
	}
	time.Sleep(without)
	if site.Replace(3, config(3, true, "/second-again/"), 10*time.Second) == nil {
		fmt.Println("version 3 is not acknowledged")
		return 2
	}
	time.Sleep(applyTime)
	var old, added count
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 3 {
		clients.Go(func() { call(site, record, i, "/first/", stop, &old) })
		clients.Go(func() { call(site, record, i, "/second-again/", stop, &added) })
	}
	time.Sleep(measured)
	close(stop)
	clients.Wait()
	if name := site.AnyEnded(nil); name != "" {
		fmt.Println(name, "has ended by itself")
		return 2
	}
	text := fmt.Sprintf("served %d of %d requests on the first route, %d of %d on the route that was added later", old.served.Load(), old.sent.Load(), added.served.Load(), added.sent.Load())
	record.Printf("%s", text)
	fmt.Println(text)
	if added.sent.Load() < enough || old.sent.Load() < enough {
		return 2
	}
	if added.share() < old.share()/4 {
		record.Printf("BROKEN: requests on the added route are served under a quarter as often")
		return 1
	}
	return 0
}

// count is what came of the requests on one route.
type count struct{ sent, served atomic.Int64 }

func (c *count) share() float64 { return float64(c.served.Load()) / float64(c.sent.Load()) }

// config is version n: a route to the first service, the second service if it is declared, and a route to it under prefix unless that is "".
func config(n httproute.Version, declared bool, prefix string) []byte {
	route := func(name ident.Class, prefix string, service ident.Service) httproute.Route {
		return httproute.Route{
			Name: name, Host: host, Prefix: prefix, Kind: httproute.KindSafe, Timeout: 2 * time.Second, Aim: 300 * time.Millisecond, Priority: 2,
			MaxAttempts: 2, Split: []httproute.Share{{Service: service, Weight: 1}},
		}
	}
	cfg := &httproute.Config{
		Version:   n,
		Routes:    []httproute.Route{route("first", "/first/", first)},
		Services:  []httproute.Service{{Name: first, HealthPath: harness.HealthPath, MaxConnections: 110}},
		Customers: []httproute.Customer{{Name: "tenant-1"}},
		Limits:    httproute.Limits{HeaderBytes: 16384, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
	if declared {
		cfg.Services = append(cfg.Services, httproute.Service{Name: second, HealthPath: harness.HealthPath, MaxConnections: 110})
	}
	if prefix != "" {
		cfg.Routes = append(cfg.Routes, route("second", prefix, second))
	}
	return platform.EncodeConfig(cfg, map[ident.Customer][]string{"tenant-1": {key}})
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}, Timeout: 4 * time.Second}

// send sends one request and returns the status, 0 without an answer.
func send(entry *harness.Daemon, path, id string) int {
	names := platform.HeaderNames()
	req, err := http.NewRequest(http.MethodGet, "http://"+entry.Settings.Listen.Callers+path+"x", nil)
	if err != nil {
		return 0
	}
	req.Host = host
	req.Header.Set(names.RequestID, id)
	req.Header.Set(names.Key, key)
	req.Header.Set(names.Deadline, "4000")
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// serves waits until every entry serves a path.
func serves(site *harness.Site, path string) bool {
	for i, entry := range site.Entries {
		until := time.Now().Add(10 * time.Second)
		for n := 0; send(entry, path, fmt.Sprintf("s%d-%d%s", i, n, path)) != http.StatusOK; n++ {
			if time.Now().After(until) {
				return false
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return true
}

// call sends five requests a second to one entry.
func call(site *harness.Site, record *harness.Record, n int, path string, stop chan struct{}, c *count) {
	entry := site.Entries[n%len(site.Entries)]
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
		id := fmt.Sprintf("c%d-%d%s", n, i, path)
		status := send(entry, path, id)
		record.Printf("request %s to %s: %d", id, entry.Name, status)
		c.sent.Add(1)
		if status == http.StatusOK {
			c.served.Add(1)
		}
	}
}
