// Package api holds the protobuf definitions of the messages between instances.
package api

//go:generate buf generate
