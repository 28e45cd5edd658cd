package faultproxy

import (
	"net"
	"sync"
)

// unknownSource is the source of connections of unregistered processes.
const unknownSource = ""

// sources determines which process opened a connection from the kernel's socket table
// and the open files of the registered processes.
type sources struct {
	mu   sync.Mutex
	pids map[string]int
}

func (s *sources) set(source Source) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pids == nil {
		s.pids = make(map[string]int)
	}
	s.pids[source.Name] = source.PID
}

func (s *sources) list() []Source {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]Source, 0, len(s.pids))
	for name, pid := range s.pids {
		list = append(list, Source{Name: name, PID: pid})
	}
	return list
}

// lookup returns the name of the registered source that opened the accepted
// connection, or unknownSource.
func (s *sources) lookup(accepted net.Conn) string {
	registry := s.list()
	if len(registry) == 0 {
		return unknownSource
	}
	inode, ok := socketInode(accepted.RemoteAddr(), accepted.LocalAddr())
	if !ok {
		return unknownSource
	}
	link := "socket:[" + inode + "]"
	for _, source := range registry {
		if hasOpenFile(source.PID, link) {
			return source.Name
		}
	}
	return unknownSource
}
