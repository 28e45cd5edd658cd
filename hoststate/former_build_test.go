package hoststate

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/dynamicpb"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/proto/hostpb"
	"github.com/cornelyard/cornelyard/route"
)

// The former builds whose datagrams were recorded, by go run ./bench soak --former COMMIT
// --record internal/proto/testdata/COMMIT.
var formerBuilds = []string{"42ff4b0"}

// formerSchema is the schema of HostState in a former build.
type formerSchema struct {
	state protoreflect.MessageDescriptor
}

func readFormerSchema(t *testing.T, commit string) formerSchema {
	t.Helper()
	set := &descriptorpb.FileDescriptorSet{}
	if err := proto.Unmarshal(readRecorded(t, filepath.Join(recordedDir(commit), "schema.bin")), set); err != nil {
		t.Fatal(err)
	}
	files, err := protodesc.NewFiles(set)
	if err != nil {
		t.Fatal(err)
	}
	found, err := files.FindDescriptorByName((&hostpb.HostState{}).ProtoReflect().Descriptor().FullName())
	if err != nil {
		t.Fatal(err)
	}
	return formerSchema{state: found.(protoreflect.MessageDescriptor)}
}

// decode decodes a datagram as the former build does, without the fields that it doesn't know.
func (s formerSchema) decode(t *testing.T, data []byte) protoreflect.Message {
	t.Helper()
	m := dynamicpb.NewMessage(s.state)
	if err := (proto.UnmarshalOptions{DiscardUnknown: true, Resolver: &protoregistry.Types{}}).Unmarshal(data, m); err != nil {
		t.Fatal(err)
	}
	return m
}

func recordedDir(commit string) string {
	return filepath.Join("..", "internal", "proto", "testdata", commit)
}

func readRecorded(t *testing.T, path string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Clean(path))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// recordedNames indexes the names in the recorded datagrams.
func recordedNames() *NameIndex {
	targets := make(map[ident.Target]route.Target)
	for i := range 12 {
		targets[ident.Target(fmt.Sprintf("t-%d", i))] = route.Target{}
	}
	table := route.NewTable(1, route.Limits{}, nil, []*route.Pool{{Name: "desk"}, {Name: "models"}}, []*route.Team{{Name: "large"}, {Name: "small"}})
	return NewNameIndex(table, &route.TargetSnapshot{Targets: targets})
}

// passOn decodes a datagram and encodes it again, both as this build does.
func passOn(t *testing.T, data []byte) []byte {
	t.Helper()
	state := &hostpb.HostState{}
	if err := proto.Unmarshal(data, state); err != nil {
		t.Fatal(err)
	}
	now := time.Unix(1_000_000, 0)
	m := recordedNames().decode(now, state)
	again, err := encode(now, &m, state.GetIncarnation(), state.GetSequence())
	if err != nil {
		t.Fatal(err)
	}
	return again
}

// A host that misreads a field of a host of the former build would decide by a wrong state.
func TestDatagramsOfFormerBuildsAreRead(t *testing.T) {
	for _, commit := range formerBuilds {
		schema := readFormerSchema(t, commit)
		paths, err := filepath.Glob(filepath.Join(recordedDir(commit), "datagram-*.bin"))
		if err != nil || len(paths) == 0 {
			t.Fatalf("%d recorded datagrams of %s, error %v", len(paths), commit, err)
		}
		for _, path := range paths {
			data := readRecorded(t, path)
			if head, ok := readHead(data); !ok || head.host == "" {
				t.Errorf("%s: head %+v, complete %t", path, head, ok)
			}
			if err := compareMessages(schema.decode(t, data), schema.decode(t, passOn(t, data))); err != nil {
				t.Errorf("%s: %v", path, err)
			}
		}
	}
}

// A host of the former build must find each field that it knows in what this build sends.
func TestFormerBuildsReadDatagramsOfThisBuild(t *testing.T) {
	full := &hostpb.HostState{}
	fill(full.ProtoReflect())
	data, err := proto.Marshal(full)
	if err != nil {
		t.Fatal(err)
	}
	for _, commit := range formerBuilds {
		schema := readFormerSchema(t, commit)
		got := schema.decode(t, passOn(t, data))
		if err := compareMessages(schema.decode(t, data), got); err != nil {
			t.Errorf("%s: %v", commit, err)
		}
		for i := range schema.state.Fields().Len() {
			if field := schema.state.Fields().Get(i); !got.Has(field) {
				t.Errorf("%s: %s is not sent any more", commit, field.FullName())
			}
		}
	}
}

// A field that changes its number or its type is misread by hosts of the other build.
func TestFieldsOfFormerBuildsKeepTheirTypes(t *testing.T) {
	for _, commit := range formerBuilds {
		now := (&hostpb.HostState{}).ProtoReflect().Descriptor()
		checkFieldsKept(t, readFormerSchema(t, commit).state, now)
	}
}

func checkFieldsKept(t *testing.T, before, now protoreflect.MessageDescriptor) {
	t.Helper()
	for i := range before.Fields().Len() {
		old := before.Fields().Get(i)
		field := now.Fields().ByNumber(old.Number())
		switch {
		case field == nil:
			if !now.ReservedRanges().Has(old.Number()) {
				t.Errorf("the number of %s is free for another meaning", old.FullName())
			}
		case field.Name() != old.Name() || field.Kind() != old.Kind() || field.Cardinality() != old.Cardinality():
			t.Errorf("%s is now the %s %s %s", old.FullName(), field.Cardinality(), field.Kind(), field.Name())
		case old.Message() != nil:
			checkFieldsKept(t, old.Message(), field.Message())
		}
	}
}

// fillValue divides the units of all fields that are converted.
const fillValue = 1000

// fill sets all fields of a message to values that this build accepts.
func fill(m protoreflect.Message) {
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		switch {
		case field.IsList():
			list := m.Mutable(field).List()
			if field.Message() != nil {
				fill(list.AppendMutable().Message())
			} else {
				list.Append(fillScalar(field))
			}
		default:
			m.Set(field, fillScalar(field))
		}
	}
}

func fillScalar(field protoreflect.FieldDescriptor) protoreflect.Value {
	names := map[protoreflect.Name]uint32{
		"pool": hashName(ident.Pool("desk")), "cut_off": hashName(ident.Pool("desk")),
		"target": hashName(ident.Target("t-0")), "team": hashName(ident.Team("small")), "phase": 2,
	}
	number, named := names[field.Name()]
	if !named {
		number = fillValue
	}
	switch field.Kind() {
	case protoreflect.StringKind:
		return protoreflect.ValueOfString("t-0")
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(true)
	case protoreflect.Uint32Kind, protoreflect.Fixed32Kind:
		return protoreflect.ValueOfUint32(number)
	case protoreflect.Int32Kind, protoreflect.Sint32Kind:
		return protoreflect.ValueOfInt32(fillValue)
	case protoreflect.Int64Kind, protoreflect.Sint64Kind:
		return protoreflect.ValueOfInt64(fillValue)
	default:
		return protoreflect.ValueOfUint64(fillValue)
	}
}

// compareMessages returns how got differs from want. Lists may have another order, and numbers
// may differ by one unit, to which conversions round.
func compareMessages(want, got protoreflect.Message) error {
	var differences []string
	fields := want.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		same := sameScalar
		if field.IsList() {
			same = func(field protoreflect.FieldDescriptor, want, got protoreflect.Value) bool {
				return sameItems(field, want.List(), got.List())
			}
		}
		if !same(field, want.Get(field), got.Get(field)) {
			differences = append(differences, string(field.FullName()))
		}
	}
	if differences == nil {
		return nil
	}
	return Error.New("%s differ: got %v, want %v", strings.Join(differences, ", "), got, want)
}

func sameItems(field protoreflect.FieldDescriptor, want, got protoreflect.List) bool {
	found := make(map[int]bool)
	for i := range want.Len() {
		for k := range got.Len() {
			if !found[k] && sameItem(field, want.Get(i), got.Get(k)) {
				found[k] = true
				break
			}
		}
	}
	return len(found) == want.Len() && want.Len() == got.Len()
}

func sameItem(field protoreflect.FieldDescriptor, want, got protoreflect.Value) bool {
	if field.Message() != nil {
		return compareMessages(want.Message(), got.Message()) == nil
	}
	return sameScalar(field, want, got)
}

func sameScalar(field protoreflect.FieldDescriptor, want, got protoreflect.Value) bool {
	switch field.Kind() {
	case protoreflect.Uint32Kind, protoreflect.Uint64Kind:
		return max(want.Uint(), got.Uint())-min(want.Uint(), got.Uint()) <= 1
	default:
		return want.Equal(got)
	}
}
