// Package proto holds the definitions of the messages between hosts. The
// generated code in peerpb is committed; only a change of peer.proto needs
// protoc and this command.
package proto

//go:generate sh -c "go build -o ../../.bin/protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go && protoc --plugin=../../.bin/protoc-gen-go --go_out=. --go_opt=paths=source_relative --go_opt=Mpeer.proto=github.com/cornelyard/cornelyard/internal/proto/peerpb peer.proto && mv peer.pb.go peerpb/"
