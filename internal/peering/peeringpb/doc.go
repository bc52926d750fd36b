// Package peeringpb holds the messages between routers. The generated code is
// committed, so that a build needs no generator.
//
// To generate it again, with protoc, protoc-gen-go and protoc-gen-twirp on
// the path:
//
//	protoc --go_out=. --go_opt=paths=source_relative \
//	    --twirp_out=. --twirp_opt=paths=source_relative peering.proto
package peeringpb
