package faultproxy

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
)

// Source names a process, so that its connections can be told from those of
// others over the same link.
type Source struct {
	Name string `json:"name"`
	PID  int    `json:"pid"`
}

// sources finds out which process opened a connection, from the kernel's tables
// of sockets and open files.
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

// of returns the name of the source that opened the accepted connection, or ""
// if it is none of the known ones.
func (s *sources) of(accepted net.Conn) string {
	known := s.list()
	if len(known) == 0 {
		return ""
	}
	inode, ok := socketInode(accepted.RemoteAddr(), accepted.LocalAddr())
	if !ok {
		return ""
	}
	link := "socket:[" + inode + "]"
	for _, source := range known {
		if hasOpen(source.PID, link) {
			return source.Name
		}
	}
	return ""
}

const (
	socketTable = "/proc/net/tcp"

	localField  = 1
	remoteField = 2
	inodeField  = 9
)

// socketInode returns the inode of the socket with these ends.
func socketInode(local, remote net.Addr) (string, bool) {
	table, err := os.Open(socketTable)
	if err != nil {
		return "", false
	}
	defer func() { _ = table.Close() }()
	localText, remoteText := tableAddress(local), tableAddress(remote)
	lines := bufio.NewScanner(table)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) > inodeField && fields[localField] == localText && fields[remoteField] == remoteText {
			return fields[inodeField], true
		}
	}
	return "", false
}

// tableAddress returns an IPv4 address as the kernel's table shows it.
func tableAddress(address net.Addr) string {
	parsed, err := netip.ParseAddrPort(address.String())
	if err != nil || !parsed.Addr().Is4() {
		return ""
	}
	ip := parsed.Addr().As4()
	return fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(ip[:]), parsed.Port())
}

func hasOpen(pid int, link string) bool {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	if err != nil {
		return false
	}
	for _, file := range files {
		if target, err := os.Readlink(file); err == nil && target == link {
			return true
		}
	}
	return false
}
