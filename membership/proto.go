package membership

import (
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/proto/peerpb"
)

// ToProto returns the member in its wire form.
func (m Member) ToProto() *peerpb.Member {
	return &peerpb.Member{
		Host:            string(m.Host),
		DataCentre:      string(m.DataCentre),
		PeerAddress:     m.PeerAddress,
		OperatorAddress: m.OperatorAddress,
		Incarnation:     m.Incarnation,
		Leaving:         m.Leaving,
		SettingsVersion: m.SettingsVersion,
	}
}

// Hello returns the message that this host sends when a session opens. It contains
// this host and the members that are not dead.
func (v *View) Hello() *peerpb.Hello {
	hello := &peerpb.Hello{Self: v.Self.ToProto(), SettingsVersion: v.Self.SettingsVersion}
	for _, m := range v.Members {
		if m.Host != v.Self.Host && m.State != Dead {
			hello.Members = append(hello.Members, m.ToProto())
		}
	}
	return hello
}

func memberFromProto(p *peerpb.Member) memberReport {
	return memberReport{
		Member: Member{
			Host:            ident.Host(p.GetHost()),
			DataCentre:      ident.DataCentre(p.GetDataCentre()),
			PeerAddress:     p.GetPeerAddress(),
			OperatorAddress: p.GetOperatorAddress(),
			Incarnation:     p.GetIncarnation(),
			Leaving:         p.GetLeaving(),
			SettingsVersion: p.GetSettingsVersion(),
		},
		dead: p.GetDead(),
	}
}

func membersFromProto(list []*peerpb.Member) []memberReport {
	members := make([]memberReport, 0, len(list))
	for _, p := range list {
		if p.GetHost() != "" {
			members = append(members, memberFromProto(p))
		}
	}
	return members
}

func membersToProto(list []memberReport) []*peerpb.Member {
	members := make([]*peerpb.Member, 0, len(list))
	for _, m := range list {
		p := m.ToProto()
		p.Dead = m.dead
		members = append(members, p)
	}
	return members
}
