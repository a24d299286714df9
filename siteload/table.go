package siteload

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/dunlinquay/dunlinquay/answerlen"
	"github.com/dunlinquay/dunlinquay/fairshare"
	"github.com/dunlinquay/dunlinquay/ident"
)

const (
	// rateHalfLife is the half-life of the rates: several reports of each entry, and short compared to a change of the load that lasts.
	rateHalfLife = time.Second
	// delayHalfLife is the half-life of the delays of first events, which depend on the engines and change rarely. It is short enough that
	// the delays of a moment without news of the other entries' load, as after a restart of all, do not count for long.
	delayHalfLife = 4 * time.Second
	// meanDeviation is the mean absolute deviation as a fraction of the standard deviation of a normal distribution.
	meanDeviation = 0.8
	// maxReportAge is the age from which the waiting requests of an entry no longer count.
	maxReportAge = 1500 * time.Millisecond
	// maxKeys bounds the keys that are kept, since callers may name any model; idleAfter is when a key without requests is dropped.
	maxKeys   = 64
	idleAfter = 30 * time.Second
	// aimValidity is how long the shortest aim is kept: several times the interval between two requests of one urgency at one entry.
	aimValidity = 10 * time.Second
	// MaxReportCustomers bounds the customers in a report for one key and urgency: far more than have requests at one entry between two
	// reports. maxSummaryCustomers bounds those in a summary, which is sent to all entries; the others
	// ask for less.
	MaxReportCustomers  = 64
	maxSummaryCustomers = 32
)

// Table holds the reports of all entries. The zero value is an empty table; it is not safe for concurrent use.
type Table struct {
	waiting map[string]waitingReport
	queues  map[Key]*queueState
	answers answerlen.Sums
}

// waitingReport holds the waiting requests of one entry at its last report.
type waitingReport struct {
	at     time.Time
	levels map[Key][]LevelReport
}

type queueState struct {
	levels map[Urgency]*levelState
	delays delayState
	usedAt time.Time
}

// levelState holds decaying sums of the counts at a point in time.
type levelState struct {
	arrived, sent, refused, spare, prompt float64
	at                                    time.Time
	// arrivedAt, sentAt, refusedAt and spareAt are the times of the last reports with such requests.
	arrivedAt, sentAt, refusedAt, spareAt time.Time
	aim, gapAim                           time.Duration
	aimAt                                 time.Time
	// work has the work of customers, nil while no entry reports any.
	work *fairshare.Counters
}

// delayState holds decaying sums of the delays of first events, in ns, and of their squares at a point in time.
type delayState struct {
	count, sum, squares float64
	at                  time.Time
}

// Apply adds the counts that an entry reported.
func (t *Table) Apply(now time.Time, entry string, report *Report) {
	if t.waiting == nil {
		t.waiting, t.queues = map[string]waitingReport{}, map[Key]*queueState{}
	}
	t.answers.Add(now, report.Answers)
	latest := waitingReport{now, map[Key][]LevelReport{}}
	for i := range report.Queues {
		r := &report.Queues[i]
		q := t.queue(now, r.Key)
		if q == nil {
			continue
		}
		latest.levels[r.Key] = r.Levels
		q.delays.add(now, r.FirstEvents)
		for _, level := range r.Levels {
			l := q.level(level.Urgency)
			l.add(now, level)
			l.addWork(now, level.Customers)
		}
	}
	t.waiting[entry] = latest
}

// Forget drops the waiting requests of an entry that has stopped.
func (t *Table) Forget(entry string) {
	delete(t.waiting, entry)
}

// queue returns the state of a key, nil if there are too many keys.
func (t *Table) queue(now time.Time, key Key) *queueState {
	q := t.queues[key]
	if q == nil {
		maps.DeleteFunc(t.queues, func(_ Key, old *queueState) bool { return now.Sub(old.usedAt) > idleAfter })
		if len(t.queues) >= maxKeys {
			return nil
		}
		q = &queueState{levels: map[Urgency]*levelState{}}
		t.queues[key] = q
	}
	q.usedAt = now
	return q
}

func (q *queueState) level(u Urgency) *levelState {
	l := q.levels[u]
	if l == nil {
		l = &levelState{}
		q.levels[u] = l
	}
	return l
}

func (l *levelState) add(now time.Time, r LevelReport) {
	l.decay(now)
	l.arrived += float64(max(0, r.Arrived))
	l.sent += float64(max(0, r.Sent))
	l.refused += float64(max(0, r.Refused))
	l.spare += float64(max(0, r.Spare))
	l.prompt += float64(max(0, r.Prompt))
	if r.Arrived > 0 {
		l.arrivedAt = now
	}
	if r.Sent > 0 {
		l.sentAt = now
	}
	if r.Refused > 0 {
		l.refusedAt = now
	}
	if r.Spare > 0 {
		l.spareAt = now
	}
	if r.Aim > 0 && (l.aim == 0 || r.Aim <= l.aim || now.Sub(l.aimAt) > aimValidity) {
		l.aim, l.gapAim, l.aimAt = r.Aim, max(0, r.GapAim), now
	}
}

// addWork adds the work of customers; work beyond the bound of a report is ignored.
func (l *levelState) addWork(now time.Time, customers []CustomerWork) {
	if len(customers) == 0 {
		return
	}
	if l.work == nil {
		l.work = &fairshare.Counters{}
	}
	for _, c := range customers[:min(len(customers), MaxReportCustomers)] {
		l.work.Add(now, c.Customer, c.Usage)
	}
}

// summarizeWork fills in the work of customers.
func (l *levelState) summarizeWork(now time.Time, summary *LevelSummary) {
	if l.work == nil {
		return
	}
	largest, others, rest := l.work.Largest(now, maxSummaryCustomers)
	for _, e := range largest {
		summary.Customers = append(summary.Customers, CustomerWork(e))
	}
	summary.Others, summary.OthersWork = others, rest
}

func (l *levelState) decay(now time.Time) {
	f := remaining(now.Sub(l.at), rateHalfLife)
	l.arrived, l.sent, l.refused, l.spare, l.prompt, l.at = l.arrived*f, l.sent*f, l.refused*f, l.spare*f, l.prompt*f, now
}

func (l *levelState) summary(now time.Time, u Urgency, waiting int) LevelSummary {
	l.decay(now)
	// A constant rate r has the decaying sum r * halfLife / ln 2.
	perSecond := math.Ln2 / rateHalfLife.Seconds()
	summary := LevelSummary{
		Urgency: u, Waiting: waiting, ArrivalRate: l.arrived * perSecond, SendRate: l.sent * perSecond, RefusalRate: l.refused * perSecond,
		SpareRate: l.spare * perSecond, Aim: l.aim, GapAim: l.gapAim,
	}
	if l.arrived > 0 {
		summary.SinceArrival, summary.MeanPrompt = now.Sub(l.arrivedAt), ident.Tokens(l.prompt/l.arrived)
	}
	if l.sent > 0 {
		summary.SinceSend = now.Sub(l.sentAt)
	}
	if l.spare > 0 {
		summary.SinceSpare = now.Sub(l.spareAt)
	}
	if l.refused > 0 {
		summary.SinceRefusal = now.Sub(l.refusedAt)
	}
	return summary
}

func (d *delayState) add(now time.Time, sample DelaySample) {
	f := DelayWeight(now.Sub(d.at))
	d.count, d.sum, d.squares, d.at = d.count*f, d.sum*f, d.squares*f, now
	if sample.valid() {
		d.count += float64(sample.Count)
		d.sum += float64(sample.Sum)
		d.squares += sample.Squares
	}
}

func (d *delayState) summary(now time.Time) DelaySummary {
	if d.count <= 0 {
		return DelaySummary{}
	}
	mean := d.sum / d.count
	deviation := meanDeviation * math.Sqrt(max(0, d.squares/d.count-mean*mean))
	return DelaySummary{Mean: time.Duration(mean), Deviation: time.Duration(deviation), Samples: d.count * DelayWeight(now.Sub(d.at))}
}

// DelayWeight returns the weight of a delay of that age, relative to a new one.
func DelayWeight(age time.Duration) float64 {
	return remaining(age, delayHalfLife)
}

// remaining returns the fraction of a sum that remains after a time.
func remaining(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(0, elapsed)) / float64(halfLife))
}

// Answers returns the lengths of the answers of all entries. They change slowly, so each entry needs them only once in
// answerlen.SummaryInterval.
func (t *Table) Answers(now time.Time) []answerlen.Sample {
	return t.answers.Summary(now)
}

// AnswerLengths describes the answers of all entries.
func (t *Table) AnswerLengths(now time.Time) []answerlen.Lengths {
	return t.answers.Lengths(now)
}

// Summary returns the sums over all entries.
func (t *Table) Summary(now time.Time) *Summary {
	s := &Summary{}
	for key, q := range t.queues {
		s.Queues = append(s.Queues, t.summarize(now, key, q))
	}
	slices.SortFunc(s.Queues, func(a, b QueueSummary) int {
		return cmp.Or(cmp.Compare(a.Key.Service, b.Key.Service), cmp.Compare(a.Key.Model, b.Key.Model))
	})
	return s
}

func (t *Table) summarize(now time.Time, key Key, q *queueState) QueueSummary {
	summary := QueueSummary{Key: key, Delay: q.delays.summary(now)}
	waiting, returning := map[Urgency]int{}, map[Urgency][]int{}
	for _, report := range t.waiting {
		age := now.Sub(report.at)
		if age > maxReportAge {
			continue
		}
		for _, level := range report.levels[key] {
			waiting[level.Urgency] += max(0, level.Waiting)
			returning[level.Urgency] = addReturning(returning[level.Urgency], level.Returning, age)
			summary.Age = max(summary.Age, age)
		}
	}
	for _, u := range slices.Sorted(maps.Keys(q.levels)) {
		l := q.levels[u]
		level := l.summary(now, u, waiting[u])
		level.Returning = returning[u]
		l.summarizeWork(now, &level)
		summary.Levels = append(summary.Levels, level)
	}
	return summary
}

// addReturning adds the callers of a report of that age that are not due yet.
func addReturning(slots, reported []int, age time.Duration) []int {
	passed := int(age / ReturnSlot)
	for i, n := range reported[:min(len(reported), ReturnSlots)] {
		if i < passed || n <= 0 {
			continue
		}
		for len(slots) <= i-passed {
			slots = append(slots, 0)
		}
		slots[i-passed] += n
	}
	return slots
}
