package meter

import (
	"net"
	"sync"
)

// Traffic counts messages and their bytes by purpose. The zero value is empty and ready
// to use. It is safe for concurrent use.
type Traffic struct {
	mu        sync.Mutex
	byPurpose map[string]TrafficSummary
}

// Conn counts a connection as opened, and returns it so that its reads and writes are
// counted, each as one message.
func (t *Traffic) Conn(purpose string, conn net.Conn) net.Conn {
	t.update(purpose, TrafficSummary{Opened: 1})
	return &countedConn{Conn: conn, traffic: t, purpose: purpose}
}

// countedConn counts the bytes read and written on a connection.
type countedConn struct {
	net.Conn
	traffic *Traffic
	purpose string
}

func (c *countedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.traffic.Add(c.purpose, 0, n)
	return n, err
}

func (c *countedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.traffic.Add(c.purpose, n, 0)
	return n, err
}

// TrafficSummary holds the counts of one purpose.
type TrafficSummary struct {
	Messages      int64 `json:"messages"`
	BytesSent     int64 `json:"bytesSent"`
	BytesReceived int64 `json:"bytesReceived"`
	Opened        int64 `json:"connectionsOpened"` // only of purposes that Conn counts
}

// Add counts a message with the bytes sent and received.
func (t *Traffic) Add(purpose string, sent, received int) {
	t.update(purpose, TrafficSummary{Messages: 1, BytesSent: int64(sent), BytesReceived: int64(received)})
}

// update adds to the counts of a purpose.
func (t *Traffic) update(purpose string, more TrafficSummary) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byPurpose == nil {
		t.byPurpose = map[string]TrafficSummary{}
	}
	c := t.byPurpose[purpose]
	c.Messages += more.Messages
	c.BytesSent += more.BytesSent
	c.BytesReceived += more.BytesReceived
	c.Opened += more.Opened
	t.byPurpose[purpose] = c
}

// Summary returns the counts so far, by purpose.
func (t *Traffic) Summary() map[string]TrafficSummary {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := make(map[string]TrafficSummary, len(t.byPurpose))
	for purpose, c := range t.byPurpose {
		counts[purpose] = c
	}
	return counts
}
