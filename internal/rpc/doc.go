// Package rpc holds the messages between the system's own processes: the
// twirp services of the control protocol and the frames of the data path.
// The generated code is committed, so that a build needs no generator.
//
// To generate it again, with protoc, protoc-gen-go and protoc-gen-twirp on
// the path:
//
//	protoc --go_out=. --go_opt=paths=source_relative \
//	    --twirp_out=. --twirp_opt=paths=source_relative control.proto
package rpc
