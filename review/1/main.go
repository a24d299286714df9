//go:build review

// Program 1 shows that an acknowledged sign-off of a worker is lost with the daemon that acknowledged it.
package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/platform"
	"github.com/dunlinquay/dunlinquay/review/harness"
)

const (
	service ident.Service = "data"
	host                  = "site.test"
	key                   = "key-1"
	// lingers is how long the worker serves after the acknowledgement of its sign-off and the time to drain: "at times many seconds".
	lingers = 8 * time.Second
	// killWithin is the limit of the pages for the time from the acknowledgement to the kill.
	killWithin = 4 * time.Millisecond
	// routeTimeout is the longest time for which a request can be under way.
	routeTimeout = 2 * time.Second
	// restartAfter is the short delay after which a killed process starts again.
	restartAfter = time.Second
	callers      = 30
	entries      = 9
)

func main() {
	binary := flag.String("binary", "", "the program")
	record := flag.String("record", "record.txt", "the record")
	flag.Parse()
	os.Exit(run(*binary, *record, os.Getenv("TROUBLE") != "0"))
}

type arrival struct {
	at time.Time
	id string
}

func run(binary, recordFile string, trouble bool) int {
	record, err := harness.NewRecord(recordFile)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	halls := []ident.Hall{"hall-0", "hall-1", "hall-2"}
	site, err := harness.NewSite(record, &harness.Plan{Binary: binary, Controls: 5, Entries: entries, Halls: halls})
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer site.End()
	if err := site.Start(); err != nil {
		fmt.Println(err)
		return 2
	}
	var mu sync.Mutex
	arrivals := map[string][]arrival{}
	var workers []*harness.Worker
	for i := range 4 {
		w := &harness.Worker{
			ID: "i-" + strconv.Itoa(i), Service: service, Hall: halls[i%len(halls)], Slots: 6, Work: 60 * time.Millisecond,
			OnRequest: func(w *harness.Worker, id string) {
				mu.Lock()
				defer mu.Unlock()
				arrivals[w.ID] = append(arrivals[w.ID], arrival{time.Now(), id})
				record.Printf("request %s arrives at worker %s", id, w.ID)
			},
			OnRun: func(w *harness.Worker, id string) { record.Printf("worker %s runs request %s", w.ID, id) },
		}
		if err := site.StartWorker(w); err != nil {
			fmt.Println(err)
			return 2
		}
		workers = append(workers, w)
	}
	if site.Replace(1, config(), 30*time.Second) == nil || !site.Ready(30*time.Second) {
		fmt.Println("the site does not start")
		return 2
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var served, failed atomic.Int64
	for i := range callers {
		clients.Go(func() { call(site, record, i, stop, &served, &failed) })
	}
	// Every machine is in touch after a calm span of the contact time.
	time.Sleep(harness.ContactTime + 2*time.Second)
	if served.Load() == 0 {
		fmt.Println("nothing is served")
		return 2
	}
	leaver := workers[3]
	leaver.StopBeats()
	leaver.Leave()
	by := leaver.SignOff()
	acked := time.Now()
	if by == nil {
		fmt.Println("the sign-off is not acknowledged")
		return 2
	}
	calm := acked
	if trouble {
		by.Signal(syscall.SIGKILL)
		after := time.Since(acked)
		record.Printf("worker %s signed off, acknowledged by %s; that process was killed %v later", leaver.ID, by.Name, after)
		by.Kill()
		if after > killWithin {
			fmt.Println("the process was killed", after, "after the acknowledgement, which is later than the pages name")
			return 2
		}
		time.Sleep(restartAfter)
		if err := by.Start(false); err != nil {
			fmt.Println(err)
			return 2
		}
		calm = time.Now()
		record.Printf("%s was started again", by.Name)
	} else {
		record.Printf("worker %s signed off, acknowledged by %s; no trouble", leaver.ID, by.Name)
	}
	until := acked.Add(harness.DrainTime + lingers)
	time.Sleep(time.Until(until))
	mu.Lock()
	last := append([]arrival(nil), arrivals[leaver.ID]...)
	mu.Unlock()
	leaver.Close()
	close(stop)
	clients.Wait()
	if name := site.AnyEnded(nil); name != "" {
		fmt.Println(name, "has ended by itself")
		return 2
	}
	// Machines are in touch again the contact time after the last start of a process. A request counts only if it was also taken from the
	// client since then, hence the route's time-out.
	from := acked.Add(harness.DrainTime)
	if trouble {
		from = later(from, calm.Add(harness.ContactTime))
	}
	from = from.Add(routeTimeout)
	broken, soon := 0, 0
	for _, a := range last {
		switch {
		case a.at.After(from):
			broken++
			record.Printf("BROKEN: request %s arrived at %s %.3f s after its sign-off was acknowledged", a.id, leaver.ID, a.at.Sub(acked).Seconds())
		case a.at.After(acked):
			soon++
		}
	}
	record.Printf("%d requests served, %d not; %d arrived at the worker within the time to drain or while machines were out of touch, %d later", served.Load(), failed.Load(), soon, broken)
	fmt.Printf("%d requests served, %d not; %d arrived at the worker that had signed off later than allowed\n", served.Load(), failed.Load(), broken)
	if broken > 0 {
		return 1
	}
	return 0
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// config is a configuration with one safe route to the plain service.
func config() []byte {
	cfg := &httproute.Config{
		Version: 1,
		Routes: []httproute.Route{{
			Name: "read", Host: host, Prefix: "/read/", Kind: httproute.KindSafe, Timeout: routeTimeout, Aim: 300 * time.Millisecond, Priority: 2,
			MaxAttempts: 2, Split: []httproute.Share{{Service: service, Weight: 1}},
		}},
		Services:  []httproute.Service{{Name: service, HealthPath: harness.HealthPath, MaxConnections: 110}},
		Customers: []httproute.Customer{{Name: "tenant-1"}},
		Limits:    httproute.Limits{HeaderBytes: 16384, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
	return platform.EncodeConfig(cfg, map[ident.Customer][]string{"tenant-1": {key}})
}

// call sends one request after the other to entries that say that they are ready.
func call(site *harness.Site, record *harness.Record, n int, stop chan struct{}, served, failed *atomic.Int64) {
	names := platform.HeaderNames()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: 4 * time.Second}
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		entry := site.Entries[n%len(site.Entries)]
		id := fmt.Sprintf("c%d-%d", n, i)
		req, err := http.NewRequest(http.MethodGet, "http://"+entry.Settings.Listen.Callers+"/read/x", nil)
		if err != nil {
			return
		}
		req.Host = host
		req.Header.Set(names.RequestID, id)
		req.Header.Set(names.Key, key)
		req.Header.Set(names.Deadline, "4000")
		resp, err := client.Do(req)
		status := 0
		if err == nil {
			status = resp.StatusCode
			resp.Body.Close()
		}
		if status == http.StatusOK {
			served.Add(1)
		} else {
			failed.Add(1)
		}
		record.Printf("request %s to %s: %d", id, entry.Name, status)
		if status == http.StatusServiceUnavailable {
			time.Sleep(300 * time.Millisecond)
		}
	}
}
