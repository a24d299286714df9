package main

import (
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"github.com/dunlinquay/dunlinquay/site"
)

func siteLoad() *cobra.Command {
	q := &inspection{}
	return q.flags(&cobra.Command{
		Use: "load", Short: "Show what waits, arrives, is sent and is refused at all entries of a site", Args: cobra.NoArgs,
		Long: "Show, by service, model and urgency, how many requests wait at all entries and how many arrive, are sent to groups and\n" +
			"are refused per second; for each model how much later than estimated first events are; and for each class how long\n" +
			"answers are. Lower urgencies are more urgent: 1000 times the customer's priority and that of the route. Where the\n" +
			"settings enable them, also the recent work of customers in upstream-seconds and the expected demand.",
		Example: "  dunlinquay site load --settings /etc/dunlinquay/site.json",
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := q.state(cmd)
			if err != nil {
				return err
			}
			return q.print(cmd.OutOrStdout(), s, func(t io.Writer) { loadTable(t, s) })
		},
	})
}

func loadTable(t io.Writer, s *site.State) {
	fmt.Fprintf(t, "leader %s since %s, %d entries\n\n", s.Leader, s.Since.Format(time.TimeOnly), s.Entries)
	fmt.Fprintln(t, "SERVICE\tMODEL\tURGENCY\tWAITING\tARRIVED/S\tSENT/S\tREFUSED/S\tOLDEST REPORT")
	for i := range s.Load.Queues {
		queueRows(t, &s.Load.Queues[i])
	}
	fmt.Fprintln(t, "\nSERVICE\tMODEL\tFIRST EVENT LATE BY\tDEVIATION\tSAMPLES")
	for i := range s.Load.Queues {
		delayRow(t, &s.Load.Queues[i])
	}
	answersTable(t, s.Load.Answers)
	customersTable(t, s.Load.Queues)
	forecastTable(t, s.Forecasts)
}

func queueRows(t io.Writer, q *site.QueueState) {
	age := time.Duration(q.AgeMS) * time.Millisecond
	for _, l := range q.Levels {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%.1f\t%.1f\t%.1f\t%s\n", q.Service, q.Model, l.Urgency, l.Waiting, l.Arrived, l.Sent, l.Refused, age)
	}
}

// delayRow shows the delay of first events of a model; nothing is known of it without samples.
func delayRow(t io.Writer, q *site.QueueState) {
	if q.Delay == nil {
		fmt.Fprintf(t, "%s\t%s\t-\t-\t0\n", q.Service, q.Model)
		return
	}
	fmt.Fprintf(t, "%s\t%s\t%.1f ms\t%.1f ms\t%.0f\n", q.Service, q.Model, q.Delay.MeanMS, q.Delay.DeviationMS, q.Delay.Samples)
}

// customersTable shows the work of customers where the settings order requests by their shares.
func customersTable(t io.Writer, queues []site.QueueState) {
	headShown := false
	for i := range queues {
		for j := range queues[i].Customers {
			if !headShown {
				fmt.Fprintln(t, "\nSERVICE\tMODEL\tURGENCY\tCUSTOMER\tWORK SENT\tWORK UNMET")
				headShown = true
			}
			c := &queues[i].Customers[j]
			fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%.2f\t%.2f\n", queues[i].Service, queues[i].Model, c.Urgency, c.Customer, c.Sent, c.Unmet)
		}
	}
}

func answersTable(t io.Writer, answers []site.AnswerState) {
	if len(answers) == 0 {
		return
	}
	fmt.Fprintln(t, "\nCLASS\tMODEL\tANSWERS\tMEAN TOKENS\tMEDIAN\tNINE OF TEN UP TO\tRATIO TO HINT")
	for i := range answers {
		a := &answers[i]
		ratio := "-"
		if a.Ratio > 0 {
			ratio = strconv.FormatFloat(a.Ratio, 'f', 2, 64)
		}
		fmt.Fprintf(t, "%s\t%s\t%.0f\t%.0f\t%.0f\t%.0f\t%s\n", a.Class, a.Model, a.Answers, a.Mean, a.Median, a.Long, ratio)
	}
}
