package former

import (
	"os"
	"os/exec"
	"path/filepath"
)

// schemaProgram prints the descriptors of the datagrams. It is compiled among the files of a
// former commit, whose generated code holds them.
const schemaProgram = `package main

import (
	"os"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/types/descriptorpb"

	"github.com/cornelyard/cornelyard/internal/proto/crashpb"
	"github.com/cornelyard/cornelyard/internal/proto/hostpb"
)

func main() {
	data, err := proto.Marshal(&descriptorpb.FileDescriptorSet{File: []*descriptorpb.FileDescriptorProto{
		protodesc.ToFileDescriptorProto(crashpb.File_crash_proto), protodesc.ToFileDescriptorProto(hostpb.File_host_proto),
	}})
	if err != nil {
		panic(err)
	}
	if err := os.WriteFile(os.Args[1], data, 0o600); err != nil {
		panic(err)
	}
}
`

// WriteSchema writes the schema of the datagrams of the build to a file, as an encoded
// FileDescriptorSet.
func (b *Build) WriteSchema(path string) error {
	dir := filepath.Join(b.Source, "internal", "proto", "schema")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return Error.Wrap(err)
	}
	if err := os.WriteFile(filepath.Join(dir, "main.go"), []byte(schemaProgram), 0o600); err != nil {
		return Error.Wrap(err)
	}
	path, err := filepath.Abs(path)
	if err != nil {
		return Error.Wrap(err)
	}
	_, err = output(b.Source, exec.Command("go", "run", "./internal/proto/schema", path))
	return err
}
