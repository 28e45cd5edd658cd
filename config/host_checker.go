package config

import (
	"encoding/hex"
	"net/url"
	"strconv"

	"github.com/cornelyard/cornelyard/internal/strictjson"
	"github.com/cornelyard/cornelyard/settings"
)

const (
	// peerKeyBytes is the length of a decoded peer key.
	peerKeyBytes = 32

	allowedName       = "1 to 63 of a-z, 0-9, '.', '_' and '-', with a letter or digit at both ends"
	allowedAddress    = "IP:port, such as \"10.0.0.7:8000\""
	allowedAdvertised = "the IP:port at which this host can be dialed"
	allowedURL        = "http or https with IP:port, such as \"http://10.0.0.1:7000\""
	allowedKey        = "32 bytes as 64 hex digits"
	allowedHash       = "the SHA-256 of the token as 64 lower-case hex digits"
	allowedLevels     = "debug, info, warn, error"
)

// hostChecker collects the findings of a host's settings file.
type hostChecker struct {
	findingCollector
	host Host
}

// check validates what the types do not enforce. It adds no second finding for the
// same field.
func (c *hostChecker) check() {
	c.checkName("host", string(c.host.Host))
	c.checkName("dataCentre", string(c.host.DataCentre))
	c.checkAddresses()
	c.checkPlatform()
	c.checkCredentials()
	c.checkLogLevel(c.host.LogLevel)
	c.checkLimits()
	c.checkTiming()
	c.findings.Sort()
}

func (c *hostChecker) checkAddresses() {
	c.checkAddress("callerAddress", c.host.CallerAddress)
	c.checkAddress("peerAddress", c.host.PeerAddress)
	c.checkAddress("operatorAddress", c.host.OperatorAddress)
	c.checkAdvertisedAddress()
	for i, seed := range c.host.Seeds {
		c.checkAddress(strictjson.Path("seeds").Index(i), seed)
	}
	c.checkDistinctAddresses()
}

// checkAdvertisedAddress checks that other hosts can dial the advertised address.
func (c *hostChecker) checkAdvertisedAddress() {
	parsed, ok := parseAddress(c.host.AdvertisedPeerAddress)
	switch {
	case !ok:
		c.add("advertisedPeerAddress", strconv.Quote(c.host.AdvertisedPeerAddress)+" is not an address", allowedAddress)
	case parsed.Addr().IsUnspecified():
		c.add("advertisedPeerAddress", "other hosts cannot dial "+parsed.String(), allowedAdvertised)
	}
}

// checkDistinctAddresses checks that the listen addresses differ.
func (c *hostChecker) checkDistinctAddresses() {
	if c.host.PeerAddress == c.host.CallerAddress {
		c.add("peerAddress", "the address is the callers' as well", "")
	}
	if c.host.OperatorAddress == c.host.CallerAddress || c.host.OperatorAddress == c.host.PeerAddress {
		c.add("operatorAddress", "the address is the callers' or the peers' as well", "")
	}
}

func (c *hostChecker) checkPlatform() {
	parsed, err := url.Parse(c.host.Platform)
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		c.add("platform", strconv.Quote(c.host.Platform)+" is not a base URL", allowedURL)
		return
	}
	if _, ok := parseAddress(parsed.Host); !ok {
		c.add("platform", strconv.Quote(parsed.Host)+" is not an address", allowedURL)
	}
}

func (c *hostChecker) checkCredentials() {
	if len(c.host.PeerKeys) == 0 {
		c.add("peerKeys", "there is no key", "one or more, "+allowedKey)
	}
	for i, key := range c.host.PeerKeys {
		if decoded, err := hex.DecodeString(key); err != nil || len(decoded) != peerKeyBytes {
			c.add(strictjson.Path("peerKeys").Index(i), "this is not a key", allowedKey)
		}
	}
	if len(c.host.OperatorTokenHashes) == 0 {
		c.add("operatorTokenHashes", "there is no hash, so nobody could change the settings", "one or more, "+allowedHash)
	}
	for i, hash := range c.host.OperatorTokenHashes {
		if !settings.ValidTokenHash(hash) {
			c.add(strictjson.Path("operatorTokenHashes").Index(i), "this is not the hash of a token", allowedHash)
		}
	}
}

func (c *hostChecker) checkLimits() {
	l := c.host.Limits
	c.checkLimit("limits.maxBodyBytes", l.MaxBodyBytes)
	c.checkLimit("limits.maxRequests", int64(l.MaxRequests))
	c.checkLimit("limits.maxConnections", int64(l.MaxConnections))
	c.checkLimit("limits.streamBufferBytes", int64(l.StreamBufferBytes))
	c.checkLimit("limits.timelineEvents", int64(l.TimelineEvents))
}

func (c *hostChecker) checkLimit(path strictjson.Path, value int64) {
	if value < 0 {
		c.add(path, "the limit is negative", "1 or more; 0 means the default")
	}
}

func (c *hostChecker) checkTiming() {
	t := c.host.Timing
	c.checkDuration("timing.heartbeat", t.Heartbeat)
	c.checkDuration("timing.suspectAfter", t.SuspectAfter)
	c.checkDuration("timing.deadAfter", t.DeadAfter)
	c.checkDuration("timing.grantLease", t.GrantLease)
	c.checkDuration("timing.readinessDelay", t.ReadinessDelay)
	c.checkDuration("timing.drainLimit", t.DrainLimit)
	c.checkDuration("timing.claimRetention", t.ClaimRetention)
	c.checkSilenceOrder(t)
}

// checkSilenceOrder checks that heartbeat < suspectAfter < deadAfter; otherwise a
// healthy host would be suspected between two heartbeats.
func (c *hostChecker) checkSilenceOrder(t Timing) {
	if t.SuspectAfter <= t.Heartbeat {
		c.add("timing.suspectAfter", "a host is suspected between two heartbeats", "more than heartbeat")
	}
	if t.DeadAfter <= t.SuspectAfter {
		c.add("timing.deadAfter", "a host is dead before it is suspected", "more than suspectAfter")
	}
}

func (c *hostChecker) checkDuration(path strictjson.Path, value settings.Duration) {
	if value < 0 {
		c.add(path, "the duration is negative", "0s means the default")
	}
}
