package daemonrpc

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/trainer/batch"
)

func encodeJobRequest(q batch.Query) (*Question, error) {
	m := &JobQuestion{
		Kind: int32(q.Kind), Job: string(q.ID), After: int64(q.FromPosition), WaitMs: q.MaxWait.Milliseconds(), Item: string(q.Item),
		Delegated: q.Delegated, Customer: string(q.Customer),
	}
	var err error
	if q.Job != nil {
		m.Submitted, err = json.Marshal(q.Job)
	}
	return &Question{Kind: &Question_Job{Job: m}}, err
}

func decodeJobRequest(m *JobQuestion) (batch.Query, error) {
	q := batch.Query{
		Kind: batch.QueryKind(m.GetKind()), ID: batch.JobID(m.GetJob()), FromPosition: int(m.GetAfter()),
		MaxWait: time.Duration(m.GetWaitMs()) * time.Millisecond, Item: batch.ItemID(m.GetItem()), Delegated: m.GetDelegated(),
		Customer: core.CustomerID(m.GetCustomer()),
	}
	if len(m.GetSubmitted()) > 0 {
		if err := json.Unmarshal(m.Submitted, &q.Job); err != nil {
			return q, fmt.Errorf("%w: %w", ErrMalformed, err)
		}
	}
	return q, nil
}

func encodeJobResponse(a batch.Reply) *JobAnswer {
	return &JobAnswer{
		Status: int32(a.Status), OwnerAddress: a.Owner.Address, OwnerRun: a.Owner.Run, Total: int64(a.Total), Body: a.Body,
		Results: encodeResults(a.Results), CutOff: a.StoreUnreachable, Handover: encodeResults(a.Unpublished),
	}
}

func encodeResults(results []batch.Result) []*JobResult {
	list := make([]*JobResult, 0, len(results))
	for _, r := range results {
		m := &JobResult{Item: string(r.Item), Done: r.Done, Text: r.Text, Score: r.Score}
		for _, v := range r.Versions {
			m.Versions = append(m.Versions, int64(v))
		}
		list = append(list, m)
	}
	return list
}

// decodeJobResponse decodes a response. One with an unknown status, as another build
// may send it, says that the peer cannot answer.
func decodeJobResponse(m *JobAnswer) batch.Reply {
	status := batch.Status(m.Status)
	if status < batch.StatusUnavailable || status > batch.StatusConflict || m.Total < 0 {
		return batch.Reply{Status: batch.StatusUnavailable}
	}
	return batch.Reply{
		Status: status, Owner: batch.Owner{Address: m.OwnerAddress, Run: m.OwnerRun},
		Total: int(m.Total), Body: m.Body, Results: decodeResults(m.Results),
		StoreUnreachable: m.CutOff, Unpublished: decodeResults(m.Handover),
	}
}

func decodeResults(list []*JobResult) []batch.Result {
	results := make([]batch.Result, 0, len(list))
	for _, m := range list {
		r := batch.Result{Item: batch.ItemID(m.Item), Done: m.Done, Text: m.Text, Score: m.Score}
		for _, v := range m.Versions {
			r.Versions = append(r.Versions, core.Version(v))
		}
		results = append(results, r)
	}
	return results
}
