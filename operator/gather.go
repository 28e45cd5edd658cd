package operator

import (
	"context"
	"encoding/json"

	"golang.org/x/sync/errgroup"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/membership"
)

// gather asks this host and all others, and names those that don't answer.
func gather[Request, Reply any](
	ctx context.Context, o *Operator, method string,
	request func(ident.Host) Request, local func(Request) Reply,
) *gathered[Reply] {
	view := o.options.Members.View()
	result := &gathered[Reply]{}
	self := view.Self.Host
	result.add(self, local(request(self)))
	var group errgroup.Group
	group.SetLimit(maxCallsAtOnce)
	for _, member := range view.Members {
		if member.Host == self {
			continue
		}
		group.Go(func() error {
			reply, err := ask[Request, Reply](ctx, o, member, method, request(member.Host))
			if err != nil {
				result.miss(member.Host, err)
				return nil
			}
			result.add(member.Host, reply)
			return nil
		})
	}
	_ = group.Wait()
	result.sort()
	return result
}

// ask calls one other host, unless it is known to be dead.
func ask[Request, Reply any](
	ctx context.Context, o *Operator, member membership.Member, method string, request Request,
) (reply Reply, err error) {
	if member.State == membership.Dead {
		return reply, Error.New("the host is dead")
	}
	body, err := json.Marshal(request)
	if err != nil {
		return reply, Error.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, o.options.CallTimeout)
	defer cancel()
	data, err := o.options.Caller.Call(ctx, member.Host, method, body)
	if err != nil {
		return reply, err
	}
	return reply, Error.Wrap(json.Unmarshal(data, &reply))
}
