package hoststate

// receivers is a set of other hosts with what is needed to send to each group of them.
type receivers struct {
	*PeerSet
	toNear               *sendBatch
	toFar                *sendBatch
	toAggregateReceivers *sendBatch
}

func newReceivers(p *PeerSet) *receivers {
	return &receivers{
		PeerSet:              p,
		toNear:               newSendBatch(p.near),
		toFar:                newSendBatch(p.far),
		toAggregateReceivers: newSendBatch(p.aggregateReceivers),
	}
}
