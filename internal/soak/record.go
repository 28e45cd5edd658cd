package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/cornelyard/cornelyard/internal/former"
	"github.com/cornelyard/cornelyard/internal/periodic"
	"github.com/cornelyard/cornelyard/internal/proto/hostpb"
	"github.com/cornelyard/cornelyard/internal/standin/faultproxy"
	"github.com/cornelyard/cornelyard/platform/platformtest"
)

const (
	// loadTime is how long calls are made. Datagrams are recorded, and targets fail, after calmTime,
	// in which teams use up their quotas.
	loadTime = 20 * time.Second
	calmTime = 8 * time.Second
	// faultTime is how long all targets of one service can't be reached, and the time before.
	faultTime = 3 * time.Second
	// recorderName is the name under which the recorder is listed as a host.
	recorderName     = "recorder"
	maxDatagramBytes = 16 << 10
)

// tablesOfGateway are the tables of the store whose rows gateways write.
var tablesOfGateway = []string{"cornelyard-hosts", "cornelyard-trials", "cornelyard-busy"}

// Record runs hosts of a former build under load and with faults, and writes samples of their
// datagrams and rows, and the schema of the datagrams, to a directory.
func Record(ctx context.Context, commit, dir string) error {
	builds, err := newBuilds(commit)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return Error.Wrap(err)
	}
	before, err := former.Get(commit)
	if err != nil {
		return err
	}
	if err := before.WriteSchema(filepath.Join(dir, "schema.bin")); err != nil {
		return err
	}
	// Only more than 16 hosts send aggregates, and only if all targets of a pool have one version
	// they say so.
	o := Options{Seed: 1, Former: commit, Hosts: 20, Versions: 1}.withDefaults()
	s, err := startSystem(ctx, o, builds.former)
	if s != nil {
		defer s.stop(false)
	}
	if err != nil {
		return err
	}
	r := &recorder{fields: make(map[protoreflect.FullName]bool)}
	if err := r.run(ctx, s, o); err != nil {
		return err
	}
	return r.write(s, dir)
}

// recorder is listed as a host, and so receives the datagrams of the other hosts.
type recorder struct {
	mu sync.Mutex
	// fields holds the fields of which a datagram was kept.
	fields map[protoreflect.FullName]bool
	kept   [][]byte
}

func (r *recorder) run(ctx context.Context, s *system, o Options) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout+loadTime)
	defer cancel()
	if err := s.waitReady(ctx); err != nil {
		return err
	}
	for _, h := range s.hosts {
		h.setOutOfRotation(false)
	}
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = conn.Close() }()
	go r.receive(conn)
	loadCtx, stop := context.WithTimeout(ctx, loadTime)
	defer stop()
	return r.load(loadCtx, s, o, conn.LocalAddr().String())
}

// load makes calls and injects the faults of which hosts tell each other.
func (r *recorder) load(ctx context.Context, s *system, o Options, address string) error {
	c := &callers{system: s, seed: o.Seed}
	var group sync.WaitGroup
	for caller := range o.Callers {
		group.Go(func() { c.run(ctx, caller) })
	}
	group.Go(func() { c.runPrompts(ctx) })
	for caller := range o.Callers {
		group.Go(func() { c.runLimited(ctx, caller) })
	}
	periodic.Sleep(ctx, calmTime)
	// A host that sends nothing is assumed to use its part of the quotas.
	s.store.Put("cornelyard-hosts", recorderName, fmt.Sprintf(`{"dataCentre":"east","address":%q}`, address))
	group.Go(func() {
		for seed := uint64(0); ctx.Err() == nil; seed++ {
			s.injectError(sendCrashingRequest(ctx, s, rand.New(rand.NewPCG(seed, 0))))
		}
	})
	s.makeStatements()
	periodic.Sleep(ctx, faultTime)
	for _, faults := range []faultproxy.Faults{{Refuse: true}, {}} {
		for _, t := range s.targets {
			if t.service == platformtest.ModelService {
				s.injectError(t.link.SetFaults(faults))
			}
		}
		periodic.Sleep(ctx, faultTime)
	}
	// A stopping host says that it is leaving.
	err := shutDown(s.hosts[0])
	group.Wait()
	return err
}

// makeStatements lets all targets state when they started, one a limit, one that it falls over,
// and one that it is about to end.
func (s *system) makeStatements() {
	headers := []http.Header{platformtest.LimitStatement(1000), platformtest.BrittleStatement(50), platformtest.LeavingStatement()}
	for i := range headers {
		s.targets[i].statements.Store(&headers[i])
	}
	for _, t := range s.targets {
		t.fake.StartUnixMs = time.Now().Add(-time.Minute).UnixMilli()
		s.publishTarget(t)
	}
}

// runPrompts makes streams with prompts of known parts, until ctx ends.
func (c *callers) runPrompts(ctx context.Context) {
	random := rand.New(rand.NewPCG(c.seed, 1<<38))
	for n := 0; ctx.Err() == nil; n++ {
		c.issue(&call{host: c.pickHost(random), request: platformtest.Request{
			ID: fmt.Sprintf("prompt-%d", n), Method: http.MethodPost, HostName: platformtest.HostName, Path: platformtest.PathStream,
			Deadline: deadline, Tokens: promptTokens, PromptParts: []string{"common", fmt.Sprintf("part-%d", n%10)},
		}})
		periodic.Sleep(ctx, callInterval)
	}
}

// runLimited makes calls of the team with a quota, until ctx ends.
func (c *callers) runLimited(ctx context.Context, caller int) {
	random := rand.New(rand.NewPCG(c.seed, 1<<39+uint64(caller)))
	for n := 0; ctx.Err() == nil; n++ {
		c.issue(&call{host: c.pickHost(random), limited: true, request: platformtest.Request{
			ID: fmt.Sprintf("limited-%d-%d", caller, n), Method: http.MethodGet, HostName: platformtest.HostName,
			Path: platformtest.PathLimited, Deadline: deadline,
		}})
		periodic.Sleep(ctx, callInterval)
	}
}

// receive keeps the datagrams with fields that no other one has, until the connection is closed.
func (r *recorder) receive(conn net.PacketConn) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, _, err := conn.ReadFrom(buffer)
		if err != nil {
			return
		}
		state := &hostpb.HostState{}
		if proto.Unmarshal(buffer[:n], state) != nil {
			continue
		}
		if r.addFields(state.ProtoReflect()) {
			r.mu.Lock()
			r.kept = append(r.kept, append([]byte(nil), buffer[:n]...))
			r.mu.Unlock()
		}
	}
}

// addFields adds the fields of a message, and reports whether any is new.
func (r *recorder) addFields(m protoreflect.Message) (added bool) {
	m.Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		if !r.fields[field.FullName()] {
			r.fields[field.FullName()] = true
			added = true
		}
		if field.Message() != nil {
			for i := range value.List().Len() {
				added = r.addFields(value.List().Get(i).Message()) || added
			}
		}
		return true
	})
	return added
}

// write writes the kept datagrams and the rows of the store.
func (r *recorder) write(s *system, dir string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, data := range r.kept {
		if err := os.WriteFile(filepath.Join(dir, fmt.Sprintf("datagram-%02d.bin", i)), data, 0o600); err != nil {
			return Error.Wrap(err)
		}
	}
	rows := make(map[string]map[string]string)
	for _, table := range tablesOfGateway {
		rows[table] = s.store.Rows(table)
	}
	data, err := json.MarshalIndent(rows, "", " ")
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(os.WriteFile(filepath.Join(dir, "rows.json"), append(data, '\n'), 0o600))
}
