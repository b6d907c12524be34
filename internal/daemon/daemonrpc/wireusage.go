package daemonrpc

import (
	"errors"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/usage"
)

var errNoUsage = errors.New("daemonrpc: the daemon holds no totals of usage")

func encodeTotals(totals []usage.Totals) *Question {
	return &Question{Kind: &Question_Usage{Usage: &UsageList{Totals: encodeTotalsList(totals)}}}
}

func encodeTotalsList(totals []usage.Totals) []*UsageTotals {
	list := make([]*UsageTotals, 0, len(totals))
	for _, t := range totals {
		m := &UsageTotals{Run: t.Run, Window: int64(t.Window)}
		for customer, requests := range t.Counts {
			m.Counts = append(m.Counts, &CustomerCount{Customer: string(customer), Requests: requests})
		}
		list = append(list, m)
	}
	return list
}

// decodeTotals leaves out totals that name no run, and counts that name no customer or no
// requests.
func decodeTotals(list []*UsageTotals) []usage.Totals {
	var totals []usage.Totals
	for _, m := range list {
		if m.GetRun() == "" {
			continue
		}
		t := usage.Totals{Run: m.GetRun(), Window: usage.Window(m.GetWindow()), Counts: usage.CustomerCounts{}}
		for _, c := range m.GetCounts() {
			if c.GetCustomer() != "" && c.GetRequests() > 0 {
				t.Counts[core.CustomerID(c.GetCustomer())] = c.GetRequests()
			}
		}
		totals = append(totals, t)
	}
	return totals
}
