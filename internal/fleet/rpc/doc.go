// Package rpc holds the twirp messages and services between the system's own
// processes. The generated code is committed; generate.sh renews it with
// protoc 3.21.12, protoc-gen-go v1.36.12 and protoc-gen-twirp v8.1.3.
package rpc

//go:generate ./generate.sh
