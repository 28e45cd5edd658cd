// Package proto holds the Protocol Buffers definitions of the messages between hosts.
// The generated code in packages peerpb, hostpb and crashpb is committed; protoc and the
// commands below are needed only after a change of a .proto file.
package proto

//go:generate go build -o ../../.bin/protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go
//go:generate protoc --plugin=../../.bin/protoc-gen-go --go_out=peerpb --go_opt=paths=source_relative --go_opt=Mpeer.proto=github.com/cornelyard/cornelyard/internal/proto/peerpb --go_opt=Mcrash.proto=github.com/cornelyard/cornelyard/internal/proto/crashpb peer.proto
//go:generate protoc --plugin=../../.bin/protoc-gen-go --go_out=hostpb --go_opt=paths=source_relative --go_opt=Mhost.proto=github.com/cornelyard/cornelyard/internal/proto/hostpb --go_opt=Mcrash.proto=github.com/cornelyard/cornelyard/internal/proto/crashpb host.proto
//go:generate protoc --plugin=../../.bin/protoc-gen-go --go_out=crashpb --go_opt=paths=source_relative --go_opt=Mcrash.proto=github.com/cornelyard/cornelyard/internal/proto/crashpb crash.proto
