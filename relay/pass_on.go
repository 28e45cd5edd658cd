package relay

import (
	"context"
	"errors"
	"io"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/target"
)

// maxPassOnHosts bounds the hosts that are tried for one request. Only those that got no
// byte of it are followed by another one.
const maxPassOnHosts = 3

// PeerClient sends requests to other hosts, which serve them as if their callers had sent them
// there. A host that gets a request from another one does not pass it on.
type PeerClient interface {
	// SendToHost returns the host's response once its head has arrived. Its status and header
	// are for the caller. The error is a *DispatchError.
	SendToHost(ctx context.Context, host ident.Host, d Dispatch) (*Response, error)
}

// mayPassOn reports whether another host may serve the request from its start.
func (x *execution) mayPassOn() bool { return !x.call.PassedOn && !x.delivery.headWritten }

// passOn has another host serve the request. It returns nil if that host's response was
// forwarded in full.
func (x *execution) passOn(ctx context.Context, hosts []ident.Host) *outcome.Refusal {
	x.refund()
	x.withdrawTrial()
	x.dispatchRetry()
	for _, host := range hosts[:min(len(hosts), maxPassOnHosts)] {
		response, err := x.sendToHost(ctx, host)
		x.recordStep(Step{Kind: StepPassedOn, Host: host, Cause: errorText(err)})
		if err == nil {
			return x.forwardHostResponse(ctx, response)
		}
		if ctx.Err() != nil {
			return x.cancelledRefusal(ctx)
		}
		if !isNotRun(err) {
			return unknownOutcome(outcome.TargetFailed, "the host to which the request was passed on failed")
		}
	}
	if x.mayHaveRun {
		return unknownOutcome(outcome.TargetFailed, "the target failed after the request had been sent, and no other host could be reached")
	}
	return outcome.Refuse(outcome.NoTarget, "neither a target nor another host could be reached", rejectedRetryAfter)
}

// refund gives back what the team's quota was charged. The other host charges it anew.
func (x *execution) refund() {
	if x.charged && !x.mayHaveRun {
		x.relay.options.Quotas.Refund(x.team, x.cost)
		x.charged = false
	}
}

func (x *execution) sendToHost(ctx context.Context, host ident.Host) (*Response, error) {
	d := Dispatch{
		Call: x.call, Timeout: x.timeLeft(), Latch: new(target.SendLatch), EarlierDispatches: x.dispatches,
		TableVersion: x.table.Version,
	}
	response, err := x.relay.options.PeerClient.SendToHost(ctx, host, d)
	if err != nil && !isNotRun(err) || err == nil && !response.NotRun {
		x.mayHaveRun = true
	}
	return response, err
}

func isNotRun(err error) bool {
	var dispatchErr *DispatchError
	return errors.As(err, &dispatchErr) && dispatchErr.NotRun
}

// forwardHostResponse writes the response of another host to the caller as it arrives.
func (x *execution) forwardHostResponse(ctx context.Context, response *Response) *outcome.Refusal {
	defer func() { _ = response.Body.Close() }()
	if response.NotRun && x.mayHaveRun {
		return unknownOutcome(outcome.TargetFailed, "the target failed after the request had been sent, and another host refused it")
	}
	x.delivery.headWritten = true
	x.delivery.status = response.Status
	if err := x.sink.WriteHead(response.Status, response.Header, response.Length, x.deadline.Add(deliveryGracePeriod)); err != nil {
		return x.cancelledRefusal(ctx)
	}
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			if err := x.writeBody(buffer[:n]); err != nil {
				return &outcome.Refusal{Outcome: x.outcome(), Reason: outcome.CallerDisconnected, Message: "the caller disconnected"}
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return unknownOutcome(outcome.TargetFailed, "the host to which the request was passed on failed")
		}
	}
}
