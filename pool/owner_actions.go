package pool

import (
	"time"

	"github.com/cornelyard/cornelyard/admission"
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/proto/peerpb"
	"github.com/cornelyard/cornelyard/timeline"
)

// execute sends a decision to the entry of the request.
func (o *owner) execute(now time.Time, action admission.Action) {
	switch a := action.(type) {
	case *admission.Grant:
		o.grant(now, a)
	case *admission.Refuse:
		o.refuse(a)
	case *admission.Preempt:
		o.preempt(a)
	case *admission.Forward:
		o.forward(a)
	}
}

func (o *owner) grant(now time.Time, a *admission.Grant) {
	o.recordRequest(timeline.Granted, a.Request, a.Target, "")
	sent := o.send(a.Request.Entry, &peerpb.Frame{Body: &peerpb.Frame_Grant{Grant: &peerpb.Grant{
		Pool:     string(o.key.pool),
		Id:       string(a.Request.ID),
		Target:   string(a.Target),
		LeaseMs:  o.options.GrantLease.Milliseconds(),
		Trial:    len(a.Suspects) > 0,
		Suspects: encodeDigests(a.Suspects),
	}}})
	if sent {
		o.metrics.granted(now, a.Request)
		return
	}
	o.scheduler.Decline(now, admission.Decline{
		ID:     a.Request.ID,
		Target: a.Target,
		Cause:  admission.DeclineExpired,
	})
}

func (o *owner) refuse(a *admission.Refuse) {
	o.recordRequest(timeline.Refused, a.Request, "", string(a.Reason))
	o.send(a.Request.Entry, &peerpb.Frame{Body: &peerpb.Frame_Refuse{Refuse: o.encodeRefuse(a)}})
}

func (o *owner) encodeRefuse(a *admission.Refuse) *peerpb.Refuse {
	return &peerpb.Refuse{
		Pool:         string(o.key.pool),
		Id:           string(a.Request.ID),
		Reason:       string(a.Reason),
		Message:      a.Message,
		RetryAfterMs: a.RetryAfter.Milliseconds(),
	}
}

func (o *owner) preempt(a *admission.Preempt) {
	o.metrics.preempted(a.Request)
	o.recordRequest(timeline.PreemptOrdered, a.Request, a.Target, "")
	o.send(a.Request.Entry, &peerpb.Frame{Body: &peerpb.Frame_Preempt{Preempt: &peerpb.Preempt{
		Pool:         string(o.key.pool),
		Id:           string(a.Request.ID),
		RetryAfterMs: a.RetryAfter.Milliseconds(),
	}}})
}

func (o *owner) forward(a *admission.Forward) {
	f := &peerpb.Forward{
		Pool:    string(o.key.pool),
		Id:      string(a.Request.ID),
		Refusal: o.encodeRefuse(&a.Refusal),
	}
	for _, dc := range a.DataCentres {
		f.DataCentres = append(f.DataCentres, string(dc))
	}
	o.send(a.Request.Entry, &peerpb.Frame{Body: &peerpb.Frame_Forward{Forward: f}})
}

// requestReport asks an entry for a full report of its requests in the pool.
func (o *owner) requestReport(host ident.Host) {
	o.send(host, &peerpb.Frame{Body: &peerpb.Frame_ReportRequest{ReportRequest: &peerpb.ReportRequest{
		Pool:  string(o.key.pool),
		Epoch: o.epoch,
	}}})
}

// send sends a frame and reports whether that succeeded. An entry that it does not
// reach sends a full report when its session is restored.
func (o *owner) send(to ident.Host, f *peerpb.Frame) bool {
	return o.options.Sender.Send(to, f) == nil
}
