// Package rpc contains the protobuf messages and twirp services for calls between
// the processes of a fleet. The generated code is committed. generate.sh
// regenerates it with protoc 3.21.12, protoc-gen-go v1.36.12 and
// protoc-gen-twirp v8.1.3.
package rpc

//go:generate ./generate.sh
