// Command idle measures what a site's daemons cost while nobody asks anything, at several numbers of entries.
package main

// Five control daemons and one entry are processes of the real program; the
// other entries run in this process. Peers reach control through forwarders
// that count bytes. The time of an accepted change until the last entry has it
// in force is measured on the same site.
//
//	make build && cd measure && go run ./idle --binary ../bin/dunlinquay --entries 9,100,700

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

func main() {
	binary := flag.String("binary", "../bin/dunlinquay", "the program")
	entries := flag.String("entries", "9,100,700", "numbers of entries")
	length := flag.Duration("length", 20*time.Second, "how long each site idles")
	flag.Parse()
	if err := run(*binary, *entries, *length); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(binary, list string, length time.Duration) error {
	binary, err := filepath.Abs(binary)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ENTRIES\tFORMED\tIN FORCE\tENTRY CORE\tENTRY KB/S\tENTRY MB\tLEADER CORE\tLEADER KB/S\tLEADER MB\tFOLLOWER CORE\tFOLLOWER KB/S\tFOLLOWER MB")
	for i, text := range strings.Split(list, ",") {
		n, err := strconv.Atoi(text)
		if err != nil {
			return err
		}
		f, err := measure(context.Background(), binary, i, n, length)
		if err != nil {
			return fmt.Errorf("%d entries: %w", n, err)
		}
		fmt.Fprintf(w, "%d\t%v\t%v\t%.2f%%\t%.2f\t%.0f\t%.2f%%\t%.1f\t%.0f\t%.2f%%\t%.1f\t%.0f\n", n, f.formed.Round(time.Millisecond), f.inForce.Round(time.Millisecond),
			100*f.entry.cores, f.entry.bytes/1e3, f.entry.memory, 100*f.leader.cores, f.leader.bytes/1e3, f.leader.memory,
			100*f.follower.cores, f.follower.bytes/1e3, f.follower.memory)
		if err := w.Flush(); err != nil {
			return err
		}
	}
	return nil
}

// cost is what one daemon takes: parts of a core, bytes a second in both directions, megabytes of resident memory.
type cost struct {
	cores  float64
	bytes  float64
	memory float64
}

type figures struct {
	// formed is the time from the start of all control daemons to the first accepted change, inForce that from a change's
	// acknowledgement to the last entry.
	formed  time.Duration
	inForce time.Duration
	entry   cost
	leader  cost
	// follower is the most expensive of the other control daemons.
	follower cost
}

func measure(ctx context.Context, binary string, number, entries int, length time.Duration) (*figures, error) {
	folder, err := os.MkdirTemp("", "idle")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	ctx, end := context.WithCancel(ctx)
	defer end()
	s := newIdleSite(ctx, binary, folder, number)
	defer s.stop()
	began := time.Now()
	if err := s.startControl(); err != nil {
		return nil, err
	}
	f := &figures{}
	if err := s.change(1); err != nil {
		return nil, err
	}
	f.formed = time.Since(began)
	if err := s.startEntries(entries); err != nil {
		return nil, err
	}
	s.pauseUntilAll(1)
	if err := s.change(2); err != nil {
		return nil, err
	}
	acked := time.Now()
	f.inForce = max(0, s.pauseUntilAll(2).Sub(acked))
	before := s.sample()
	time.Sleep(length)
	s.settle(f, before, s.sample(), length)
	return f, nil
}
