package connlimit

import "github.com/hyssoptiller/hyssoptiller/internal/policy/connections"

const (
	// fileDescriptors is the part of a VM's descriptors that is kept for files.
	fileDescriptors = 200
	// callersFDShare is the part of the others that connections of callers may take. A request in progress takes another
	// one to its endpoint, and the connections to schedulers and routers take some hundreds.
	callersFDShare = 0.5
	// connectionsMemoryShare is the part of the VM's memory for connections of callers, and again for what their unfinished
	// requests take besides the budget for bodies.
	connectionsMemoryShare = 0.25
	// connectionBytes is what an idle connection takes: a goroutine, two buffers of 4 KB, and its socket.
	connectionBytes = 32 << 10
	// unfinishedBytes is what an unfinished request takes besides its body: a goroutine, headers, and part of the socket
	// buffers, which few callers fill.
	unfinishedBytes = 64 << 10
)

// LimitsOfVM returns the limits for connections of callers on a VM with mb MB of memory and fds file descriptors; 0 is unknown.
func LimitsOfVM(mb, fds int) connections.Limits {
	var l connections.Limits
	if mb > 0 {
		share := int(connectionsMemoryShare * float64(mb) * (1 << 20))
		l.Connections, l.Unfinished = share/connectionBytes, share/unfinishedBytes
	}
	if fds > 0 {
		n := max(int(callersFDShare*float64(fds-fileDescriptors)), 1)
		if l.Connections == 0 || n < l.Connections {
			l.Connections = n
		}
	}
	return l
}
