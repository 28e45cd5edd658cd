package peer

import "time"

const (
	// keyBytes is the size of a peer key.
	keyBytes = 32

	// maxHelloBytes bounds a message of the handshake.
	maxHandshakeMessageBytes = 256 << 10
	// maxFrameBytes bounds one frame and one unary message.
	maxFrameBytes = 8 << 20
	// maxBacklogBytes bounds the frames that wait for one host.
	maxBacklogBytes = 16 << 20
	// maxPendingBytes bounds the frames that wait for a session to open.
	maxPendingBytes = 1 << 20
	// keptBufferBytes is the largest send buffer kept for reuse.
	maxReusedBufferBytes = 16 << 10
	// localRingFrames bounds the frames from this host to itself.
	localQueueFrames = 8192

	// dialTimeout bounds the TCP connect, and handshakeTimeout all that comes
	// after it until the session is open.
	dialTimeout      = 2 * time.Second
	handshakeTimeout = 4 * time.Second
	// writeTimeout is how long a host may take no byte.
	writeTimeout = 5 * time.Second
	// writePieceBytes is how much is written under one deadline.
	writeChunkBytes = 64 << 10
	// maxCallTime bounds the serving of a unary call.
	maxCallTime = 30 * time.Second
	// callTimeout bounds a unary call without a deadline of its own.
	callTimeout = 5 * time.Second

	// maxHandshakes bounds the incoming handshakes in progress.
	maxHandshakes = 64
	// maxCalls bounds the unary calls served at once for one host.
	maxCalls = 32
	// maxDials bounds the outgoing handshakes in progress. It exceeds the dials
	// to data centres that are cut off, so that those can't hold up others.
	maxDials = 64

	// minPlanInterval and idlePlanInterval bound the time between two searches
	// for missing sessions. The end of a session or of a dial begins one at once.
	minDialCheckInterval = 10 * time.Millisecond
	maxDialCheckInterval = time.Second
	// graceOfYounger is how long the host with the larger name waits for the
	// other one to dial.
	dialGracePeriod = 200 * time.Millisecond
	// settledAfter is the age from which a session gives way to a new
	// connection between the same two processes. A younger one was opened by
	// both sides at the same time.
	simultaneousDialWindow = time.Second
	// deadSessionSilence is the silence after which the session to a dead
	// member is closed.
	deadMemberIdleTimeout = time.Second

	// firstRedial and maxRedial bound the jittered intervals between dials.
	minRedialDelay = 100 * time.Millisecond
	maxRedialDelay = 5 * time.Second

	// remoteLinks is how many hosts of each other data centre are dialled.
	remoteLinksPerDataCentre = 2
	// lostRemoteLinks replaces remoteLinks while none of the data centre's hosts
	// is alive.
	remoteLinksIfNoneAlive = 4
)
