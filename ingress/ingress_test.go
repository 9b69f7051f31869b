package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/budget"
)

const (
	waitTimeout  = 10 * time.Second
	pollInterval = 5 * time.Millisecond
	maxBody      = 256 << 10
)

// server serves a port on loopback. Its handler reads the body, at most for bodyTime, and
// then waits until release is closed.
type server struct {
	*Port
	t        *testing.T
	bodyTime time.Duration
	serving  chan struct{} // receives one element for each request that has been read
	release  chan struct{}
}

func serve(t *testing.T, port *Port) *server {
	t.Helper()
	var err error
	port.Listener, err = net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	port.HeadWeight = HTTPHeadWeight
	port.Refusal = []byte("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
	s := &server{Port: port, t: t, bodyTime: waitTimeout, serving: make(chan struct{}, 1000), release: make(chan struct{})}
	h := &http.Server{Handler: port.Handler(s), ConnState: port.ConnState, ConnContext: ConnContext}
	go func() { _ = h.Serve(port) }() // ends when the server is closed
	t.Cleanup(func() { _ = h.Close() })
	return s
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/unknown" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	data, err := ReadBody(w, r, maxBody, time.Now().Add(s.bodyTime))
	switch {
	case errors.Is(err, ErrTooLarge):
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	case errors.Is(err, ErrBusy):
		w.WriteHeader(http.StatusServiceUnavailable)
	case errors.Is(err, os.ErrDeadlineExceeded):
		w.WriteHeader(http.StatusRequestTimeout)
	case err != nil:
		w.WriteHeader(http.StatusBadRequest)
	default:
		s.serving <- struct{}{}
		<-s.release
		_, _ = fmt.Fprint(w, len(data))
	}
}

// client is one connection to a server.
type client struct {
	net.Conn
	t *testing.T
	r *bufio.Reader
}

// dial opens a connection and sends text on it.
func (s *server) dial(text string) *client {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.Addr().String())
	require.NoError(s.t, err)
	s.t.Cleanup(func() { _ = conn.Close() })
	require.NoError(s.t, conn.SetDeadline(time.Now().Add(waitTimeout)))
	c := &client{conn, s.t, bufio.NewReader(conn)}
	c.send(text)
	return c
}

func (c *client) send(text string) {
	c.t.Helper()
	_, err := io.WriteString(c, text)
	require.NoError(c.t, err)
}

// answer reads an answer and returns its status and whether the connection stays open.
func (c *client) answer() (status int, keepAlive bool) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.r, nil)
	require.NoError(c.t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(c.t, err)
	require.NoError(c.t, resp.Body.Close())
	return resp.StatusCode, !resp.Close
}

func (c *client) requireClosed() {
	c.t.Helper()
	_, err := c.r.ReadByte()
	require.Error(c.t, err)
	require.NotErrorIs(c.t, err, os.ErrDeadlineExceeded)
}

func post(path string, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", path, length)
}

func (s *server) eventually(condition string, check func(Usage) bool) {
	s.t.Helper()
	require.Eventually(s.t, func() bool { return check(s.Usage()) }, waitTimeout, pollInterval, condition)
}

func TestNewConnectionTakesThePlaceOfTheLongestIdleOne(t *testing.T) {
	s := serve(t, &Port{MaxConns: 3})
	close(s.release)
	first, second := s.dial(""), s.dial("")
	s.eventually("two are open", func(u Usage) bool { return u.Connections == 2 })
	first.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	first.answer()
	third := s.dial(post("/", 5) + "ab")
	s.eventually("three are open", func(u Usage) bool { return u.Connections == 3 && u.Bytes > 0 })
	fourth := s.dial("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	fourth.answer()
	second.requireClosed()
	third.send("cde")
	status, _ := third.answer()
	require.Equal(t, http.StatusOK, status)
	require.EqualValues(t, 1, s.Counts.Closed.Load())
}

func TestServedRequestKeepsItsConnection(t *testing.T) {
	s := serve(t, &Port{MaxConns: 2})
	clients := []*client{s.dial("GET / HTTP/1.1\r\nHost: a\r\n\r\n"), s.dial(post("/", 2) + "ab")}
	<-s.serving
	<-s.serving
	refused := s.dial("")
	status, _ := refused.answer()
	require.Equal(t, http.StatusServiceUnavailable, status)
	refused.requireClosed()
	close(s.release)
	for _, c := range clients {
		status, keepAlive := c.answer()
		require.Equal(t, http.StatusOK, status)
		require.True(t, keepAlive)
	}
}

// TestPipelinedRequestIsServed sends two requests at once: the second comes with the bytes
// of the first.
func TestPipelinedRequestIsServed(t *testing.T) {
	s := serve(t, &Port{MaxConns: 1})
	close(s.release)
	c := s.dial(strings.Repeat(post("/", 2)+"ab", 3))
	for range 3 {
		status, _ := c.answer()
		require.Equal(t, http.StatusOK, status)
	}
	s.eventually("nothing is held", func(u Usage) bool { return u.Bytes == 0 })
}

func TestSilentBodiesGiveWayToOthers(t *testing.T) {
	s := serve(t, &Port{Budget: &budget.Budget{Limit: 1 << 20}})
	close(s.release)
	var silent []*client
	for range 12 {
		silent = append(silent, s.dial(post("/", maxBody)+strings.Repeat("s", maxBody-1)))
	}
	s.eventually("bodies have given way", func(u Usage) bool { return u.GaveWay >= 9 })
	for range 3 {
		status, _ := s.dial(post("/", maxBody) + strings.Repeat("o", maxBody)).answer()
		require.Equal(t, http.StatusOK, status)
	}
	refused := 0
	for _, c := range silent {
		if c.SetReadDeadline(time.Now().Add(100*time.Millisecond)) == nil {
			if resp, err := http.ReadResponse(c.r, nil); err == nil {
				require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
				require.NoError(t, resp.Body.Close())
				refused++
			}
		}
	}
	require.GreaterOrEqual(t, refused, 9, "those that gave way are told")
}

func TestHeadsHaveABoundInSum(t *testing.T) {
	s := serve(t, &Port{Budget: &budget.Budget{Limit: 1 << 20}})
	close(s.release)
	for range 40 {
		s.dial("GET / HTTP/1.1\r\n" + strings.Repeat("a:b\r\n", 1000))
	}
	s.eventually("heads have given way", func(u Usage) bool { return u.GaveWay > 20 && u.Connections < 20 })
	status, _ := s.dial("GET / HTTP/1.1\r\nHost: a\r\n\r\n").answer()
	require.Equal(t, http.StatusOK, status)
	require.LessOrEqual(t, s.Usage().Bytes, int64(1<<20))
}

func TestRefusalReachesCallerWhoStillSends(t *testing.T) {
	s := serve(t, &Port{})
	for _, test := range []struct {
		request string
		status  int
	}{
		{post("/unknown", 1000) + "a", http.StatusNotFound},
		{post("/", 64<<20) + "a", http.StatusRequestEntityTooLarge},
		{"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n40001\r\n" + strings.Repeat("a", maxBody+1), http.StatusRequestEntityTooLarge},
	} {
		c := s.dial(test.request)
		status, keepAlive := c.answer()
		require.Equal(t, test.status, status)
		require.False(t, keepAlive)
		c.requireClosed()
	}
	s.eventually("nothing is held", func(u Usage) bool { return u.Bytes == 0 && u.Connections == 0 })
}

// A connection that is closed while its client writes is reset, and the client may not read the
// answer. Clients read while they write, or afterwards; bodies come whole or in chunks.
func TestRefusalsArriveAtClientsOfEachKind(t *testing.T) {
	s := serve(t, &Port{})
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: waitTimeout}
	for _, size := range []int{maxBody + 1, 300_000, 400_000, 1 << 20, 2 << 20} {
		for path, status := range map[string]int{"/": http.StatusRequestEntityTooLarge, "/unknown": http.StatusNotFound} {
			for range 20 {
				for _, chunked := range []bool{false, true} {
					r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.Addr().String()+path, strings.NewReader(strings.Repeat("a", size)))
					require.NoError(t, err)
					if chunked {
						r.ContentLength = -1
					}
					resp, err := client.Do(r)
					require.NoError(t, err, "%s, %d bytes", path, size)
					require.NoError(t, resp.Body.Close())
					require.Equal(t, status, resp.StatusCode)
				}
				c := s.dial(post(path, size) + strings.Repeat("a", size))
				got, _ := c.answer()
				require.Equal(t, status, got)
			}
		}
	}
}

func TestRefusalOfASmallRequestKeepsTheConnection(t *testing.T) {
	s := serve(t, &Port{})
	c := s.dial(post("/unknown", 3) + "abc")
	for range 2 {
		status, keepAlive := c.answer()
		require.Equal(t, http.StatusNotFound, status)
		require.True(t, keepAlive)
		c.send(post("/unknown", 3) + "abc")
	}
}

func TestBodyThatStopsIsAnswered(t *testing.T) {
	s := serve(t, &Port{})
	s.bodyTime = 100 * time.Millisecond
	status, keepAlive := s.dial(post("/", 10) + "a").answer()
	require.Equal(t, http.StatusRequestTimeout, status)
	require.False(t, keepAlive)
}

// TestTimeOfTheBodyDoesNotEndTheRequest lets a request take longer than its body may.
func TestTimeOfTheBodyDoesNotEndTheRequest(t *testing.T) {
	s := serve(t, &Port{})
	s.bodyTime = 50 * time.Millisecond
	c := s.dial(post("/", 1) + "a")
	<-s.serving
	time.Sleep(4 * s.bodyTime)
	close(s.release)
	status, keepAlive := c.answer()
	require.Equal(t, http.StatusOK, status)
	require.True(t, keepAlive)
}

func TestConnectionsWhoseTimeIsUpAreClosed(t *testing.T) {
	limits := Timeouts{Head: 100 * time.Millisecond, Idle: 100 * time.Millisecond}
	s := serve(t, &Port{Timeouts: func() Timeouts { return limits }})
	silent, head, idle := s.dial(""), s.dial("GET / HTTP/1.1\r\n"), s.dial("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	<-s.serving
	silent.requireClosed()
	head.requireClosed()
	require.Equal(t, 1, s.Usage().Connections, "the request that is served stays")
	close(s.release)
	idle.answer()
	idle.requireClosed()
	require.EqualValues(t, 3, s.Counts.TimedOut.Load())
}

func TestClientThatDoesNotReadIsClosed(t *testing.T) {
	s := serve(t, &Port{Timeouts: func() Timeouts { return Timeouts{Write: 100 * time.Millisecond} }})
	close(s.release)
	conn, err := net.Dial("tcp", s.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, conn.SetDeadline(time.Now().Add(waitTimeout)))
	request := strings.Repeat("GET /unknown HTTP/1.1\r\nHost: a\r\n\r\n", 1000)
	for err == nil { // the answers fill the buffers of both sides
		_, err = io.WriteString(conn, request)
	}
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
	s.eventually("it is closed", func(u Usage) bool { return u.Connections == 0 })
}
