package batch

// setJob records the job that was accepted or read.
func (e *jobEntry) setJob(job *Job) { e.job, e.customer = job, job.Customer }

// isOpenTo reports whether the customer who asks may use the job. A job of nobody is open
// to every customer, and a query of a daemon that knows no customers was not checked there
// either: it has no such configuration yet, or is of an earlier build.
func (e *jobEntry) isOpenTo(q *Query) bool {
	return e.customer == "" || q.Customer == "" || q.Customer == e.customer
}

// denial returns the reply to a customer whose job it is not. For that customer the job
// does not exist, except that its id is taken: a submission under it can never be stored,
// so "not stored now" would have the trainer send it again without end.
func denial(q *Query) Reply {
	if q.Kind == QuerySubmit {
		return Reply{Status: StatusConflict}
	}
	return Reply{Status: StatusNotFound}
}
