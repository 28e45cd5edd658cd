package operator

import (
	"context"
	"encoding/json"

	"golang.org/x/sync/errgroup"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/membership"
)

// queryAllHosts collects the replies of this host and all other members, and
// lists those that did not reply as unreachable.
func queryAllHosts[Request, Reply any](
	ctx context.Context, o *Operator, method string,
	request func(ident.Host) Request, local func(Request) Reply,
) *hostReplies[Reply] {
	view := o.options.Members.View()
	result := &hostReplies[Reply]{}
	self := view.Self.Host
	result.add(self, local(request(self)))
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	for _, member := range view.Members {
		if member.Host == self {
			continue
		}
		group.Go(func() error {
			reply, err := callHost[Request, Reply](ctx, o, member, method, request(member.Host))
			if err != nil {
				result.addUnreachable(member.Host, err)
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

// callHost calls another host; the call fails at once if the host is known to be
// dead.
func callHost[Request, Reply any](
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
