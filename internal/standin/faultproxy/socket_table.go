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
)

const (
	socketTable = "/proc/net/tcp"

	localField  = 1
	remoteField = 2
	inodeField  = 9
)

// socketInode returns the inode of the local socket with these addresses.
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

// tableAddress formats an IPv4 address as in /proc/net/tcp.
func tableAddress(address net.Addr) string {
	parsed, err := netip.ParseAddrPort(address.String())
	if err != nil || !parsed.Addr().Is4() {
		return ""
	}
	ip := parsed.Addr().As4()
	return fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(ip[:]), parsed.Port())
}

// hasOpenFile reports whether a file descriptor of the process refers to link.
func hasOpenFile(pid int, link string) bool {
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
