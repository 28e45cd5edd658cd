package peer

import "time"

const (
	// keyBytes is the size of a peer key.
	keyBytes = 32

	// maxHandshakeMessageBytes limits each Hello and Welcome message.
	maxHandshakeMessageBytes = 256 << 10
	// maxFrameBytes limits each frame and each unary request and reply.
	maxFrameBytes = 8 << 20
	// maxBacklogBytes limits the frames queued on a session.
	maxBacklogBytes = 16 << 20
	// maxPendingBytes limits the frames queued for a host until its session opens.
	maxPendingBytes = 1 << 20
	// maxReusedBufferBytes is the largest send buffer that is kept for reuse.
	maxReusedBufferBytes = 16 << 10
	// localQueueFrames limits the queued frames from this host to itself.
	localQueueFrames = 8192

	// dialTimeout limits the TCP connect. handshakeTimeout limits everything after it
	// until the session is open.
	dialTimeout      = 2 * time.Second
	handshakeTimeout = 4 * time.Second
	// writeTimeout limits the write of one chunk. A host that accepts no data for so
	// long is disconnected.
	writeTimeout = 5 * time.Second
	// writeChunkBytes is how much is written under one deadline.
	writeChunkBytes = 64 << 10
	// maxCallTime limits how long a unary call is served.
	maxCallTime = 30 * time.Second
	// callTimeout is the timeout of a unary call whose context has no deadline.
	callTimeout = 5 * time.Second

	// maxHandshakes limits the concurrent incoming handshakes.
	maxHandshakes = 64
	// maxCalls limits the unary calls served concurrently for one host.
	maxCalls = 32
	// maxDials limits the concurrent dials and outgoing handshakes. It exceeds the
	// number of dials to data centres that are cut off, so that these cannot delay
	// others.
	maxDials = 64

	// minDialCheckInterval and maxDialCheckInterval bound the time between two
	// searches for missing sessions. The end of a session or of a dial triggers a
	// search.
	minDialCheckInterval = 10 * time.Millisecond
	maxDialCheckInterval = time.Second
	// dialGracePeriod is how long the host with the larger name waits for the other
	// host to dial.
	dialGracePeriod = 200 * time.Millisecond
	// simultaneousDialWindow is the age up to which an open session is kept when a new
	// connection between the same two processes arrives, because both sides dialled at
	// the same time. The new connection replaces an older session.
	simultaneousDialWindow = time.Second
	// deadMemberIdleTimeout is the time without a received frame after which the
	// session to a dead member is closed.
	deadMemberIdleTimeout = time.Second

	// minRedialDelay and maxRedialDelay bound the jittered exponential backoff between
	// dials.
	minRedialDelay = 100 * time.Millisecond
	maxRedialDelay = 5 * time.Second

	// remoteLinksPerDataCentre is how many hosts of each other data centre are
	// dialled.
	remoteLinksPerDataCentre = 2
	// remoteLinksIfNoneAlive replaces remoteLinksPerDataCentre while all hosts of the
	// data centre are dead or leaving.
	remoteLinksIfNoneAlive = 4
)
