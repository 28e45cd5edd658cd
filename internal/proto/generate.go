// Package proto holds the definitions of the messages between hosts. The
// generated code in peerpb and hostpb is committed; only a change of a .proto
// file needs protoc and these commands.
package proto

//go:generate go build -o ../../.bin/protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go
//go:generate protoc --plugin=../../.bin/protoc-gen-go --go_out=peerpb --go_opt=paths=source_relative --go_opt=Mpeer.proto=github.com/cornelyard/cornelyard/internal/proto/peerpb peer.proto
//go:generate protoc --plugin=../../.bin/protoc-gen-go --go_out=hostpb --go_opt=paths=source_relative --go_opt=Mhost.proto=github.com/cornelyard/cornelyard/internal/proto/hostpb host.proto
