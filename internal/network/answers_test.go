package network_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/internal/network"
)

// pipes is a network without buffers, whose writes wait for reads.
type pipes struct{ accepted chan net.Conn }

func (p *pipes) Listen(string) (net.Listener, error) {
	return &pipeListener{p, make(chan struct{}), sync.Once{}}, nil
}

func (p *pipes) DialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	caller, server := net.Pipe()
	select {
	case p.accepted <- server:
		return caller, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

type pipeListener struct {
	*pipes
	closed chan struct{}
	once   sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// answering is a server with a guard that answers /n with n bytes, in parts with a pause between
// them if the query states one.
type answering struct {
	*is.I
	t       *testing.T
	pipes   *pipes
	guard   *network.Guard
	mu      sync.Mutex
	reasons map[string]int
}

func runAnswering(t *testing.T, maxConns int, test func(a *answering)) {
	for _, drainable := range []bool{false, true} {
		t.Run(fmt.Sprint("drainable ", drainable), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := &answering{I: is.New(t), t: t, pipes: &pipes{make(chan net.Conn)}, reasons: map[string]int{}}
				budget := network.NewBudget(8 << 20)
				a.guard = network.NewGuard(budget, func(reason string) {
					a.mu.Lock()
					defer a.mu.Unlock()
					a.reasons[reason]++
				})
				a.guard.SetMaxConns(maxConns)
				servers, err := network.OpenServers(a.pipes, network.ServerConfig{Address: guardedAddress, Handler: http.HandlerFunc(a.serve), Guard: a.guard})
				a.NoErr(err)
				var server interface {
					Serve() error
					Close() error
				} = servers[0]
				if drainable {
					server = servers[0].Drainable()
				}
				done := make(chan struct{})
				go func() {
					defer close(done)
					_ = server.Serve()
				}()
				test(a)
				_ = server.Close()
				<-done
				time.Sleep(time.Minute)
				a.Equal(budget.Used(), int64(0)) // all was returned
			})
		})
	}
}

func (a *answering) serve(w http.ResponseWriter, r *http.Request) {
	var size int
	if _, err := fmt.Sscanf(r.URL.Path, "/%d", &size); err != nil {
		a.t.Error(err)
	}
	pause, err := time.ParseDuration(r.URL.Query().Get("pause"))
	if err != nil {
		_, _ = io.WriteString(w, strings.Repeat("x", size))
		return
	}
	for range size {
		time.Sleep(pause)
		_, _ = io.WriteString(w, "x")
		_ = http.NewResponseController(w).Flush()
	}
}

func (a *answering) count(reason string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reasons[reason]
}

func (a *answering) request(target string) net.Conn {
	conn, err := a.pipes.DialContext(a.t.Context(), "", "")
	a.NoErr(err)
	_ = conn.SetWriteDeadline(time.Now().Add(time.Second)) // the connection may be closed instead
	_, _ = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", target)
	_ = conn.SetWriteDeadline(time.Time{})
	return conn
}

// read reads step bytes each second until the connection ends, and returns their number and how
// long it took.
func read(c net.Conn, step int) (n int, took time.Duration) { return readEach(c, time.Second, step) }

func readEach(c net.Conn, pause time.Duration, step int) (n int, took time.Duration) {
	begun := time.Now()
	buffer := make([]byte, step)
	for {
		got, err := io.ReadFull(c, buffer)
		n += got
		if err != nil {
			return n, time.Since(begun)
		}
		time.Sleep(pause)
	}
}

// Guards against callers that keep a connection for as long as they like, because they read
// nothing of their answer, or very little at a time.
func TestUnreadAnswersAreGivenUp(t *testing.T) {
	runAnswering(t, 0, func(a *answering) {
		conn := a.request("/100000")
		time.Sleep(21 * time.Second)
		n, took := read(conn, 1)
		a.True(n == 0 && took == 0)
		a.Equal(a.count(network.LimitSlowAnswer), 1)
		n, took = read(a.request("/100000"), 16)
		a.True(n < 400 && took < 25*time.Second)
		pipelined := a.request("/100000")
		go func() { _, _ = io.WriteString(pipelined, strings.Repeat("GET /1 HTTP/1.1\r\nHost: x\r\n\r\n", 1000)) }()
		_, took = read(pipelined, 200) // short answers do not begin the time anew
		a.True(took < 30*time.Second)
		a.Equal(a.count(network.LimitSlowAnswer), 3)
	})
}

// Guards against giving up answers on slow links, which have 30 KB/s and may stand still for 8 s,
// and answers whose parts are far between.
func TestAnswerOnSlowLinkIsSent(t *testing.T) {
	runAnswering(t, 0, func(a *answering) {
		const size = 2 << 20
		n, _ := read(a.request(fmt.Sprint("/", size)), 30_000)
		a.True(n > size)
		conn := a.request(fmt.Sprint("/", size))
		for range 3 {
			time.Sleep(8 * time.Second)
			_, err := io.ReadFull(conn, make([]byte, 30_000))
			a.NoErr(err)
		}
		n, _ = read(conn, 30_000)
		a.True(n > size-90_000)
		n, took := read(a.request("/10?pause=1m"), 1000)
		a.True(n > 10 && took >= 10*time.Minute)
		a.Equal(a.count(network.LimitSlowAnswer), 0)
	})
}

// Guards against callers that use up all connections with answers that they do not read, and
// against closing connections of others instead: of a slow link, of a request that runs, and new
// ones.
func TestUnreadAnswersMakeRoom(t *testing.T) {
	runAnswering(t, 5, func(a *answering) {
		running := a.request("/1?pause=10s")
		slow := a.request("/200000")
		var slowRead int
		var done sync.WaitGroup
		done.Go(func() { slowRead, _ = readEach(slow, 100*time.Millisecond, 3_000) })
		time.Sleep(time.Second + time.Millisecond)
		for range 3 {
			a.request("/100000")
		}
		for range 20 {
			time.Sleep(300 * time.Millisecond)
			fresh, err := a.pipes.DialContext(a.t.Context(), "", "")
			a.NoErr(err)
			a.request("/100000")
			time.Sleep(50 * time.Millisecond)
			_, err = io.WriteString(fresh, "GET /10 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
			a.NoErr(err)
			n, _ := read(fresh, 1000)
			a.True(n > 10)
		}
		done.Wait()
		a.True(slowRead > 200_000)
		n, _ := read(running, 1000)
		a.True(n > 1)
		a.True(a.count(network.LimitSlowAnswer) >= 20)
		a.Equal(a.count(network.LimitConnections), 0)
		time.Sleep(time.Minute)
	})
}

// Guards against callers that keep a process busy with requests whose answers they do not read, and
// against a caller with several requests on its way that does not get all answers.
func TestRequestsWaitForEarlierAnswers(t *testing.T) {
	const size, requests = 64 << 10, 100
	is := is.New(t)
	var handled atomic.Int64
	servers, err := network.OpenServers(nil, network.ServerConfig{Address: "127.0.0.1:0", Guard: network.NewGuard(nil, nil), Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		handled.Add(1)
		_, _ = io.WriteString(w, strings.Repeat("x", size))
	})})
	is.NoErr(err)
	server := servers[0].Drainable()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve()
	}()
	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	}}
	conn, err := dialer.DialContext(t.Context(), "tcp", server.Addr().String())
	is.NoErr(err)
	_, err = io.WriteString(conn, strings.Repeat("GET / HTTP/1.1\r\nHost: x\r\n\r\n", requests))
	is.NoErr(err)
	time.Sleep(300 * time.Millisecond)
	is.True(handled.Load() <= 2)
	reader := bufio.NewReader(conn)
	for range requests {
		response, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		n, err := io.Copy(io.Discard, response.Body)
		is.NoErr(err)
		is.Equal(n, int64(size))
	}
	is.NoErr(conn.Close())
	is.NoErr(server.Close())
	<-done
}
