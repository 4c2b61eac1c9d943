// Package wire holds the messages between instances, generated from api/*.proto.
package wire
