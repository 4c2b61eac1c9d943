package netdial

import (
	"net"
	"testing"
	"time"
)

// Guards against a connection that counts as open while unread bytes hide that the other side has closed it.
func TestEstablishedWhileBytesAreUnread(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	other, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := other.Write([]byte("unread")); err != nil {
		t.Fatal(err)
	}
	if !Established(c) {
		t.Error("a connection is not established after it was opened")
	}
	if err := other.Close(); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(5 * time.Second); Established(c); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("a connection is established that the other side has closed")
		}
	}
	if _, err := c.Read(make([]byte, 6)); err != nil {
		t.Errorf("the bytes cannot be read: %v", err)
	}
}
