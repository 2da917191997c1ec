package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
)

const relayCommand = "relay" // as the first argument, in a process of its own

// runRelay is the least that can stand where the program does: it reads ENQUEUE,
// answers +OK and calls an endpoint of the destination on a kept connection. It has no
// journal and decides nothing. What the program costs is compared with it.
func runRelay() int {
	var config struct {
		Listen string `json:"listen"`
		Known  struct {
			Endpoints []struct {
				Address string `json:"address"`
				Group   int    `json:"group"`
			} `json:"endpoints"`
		} `json:"known"`
		Settings struct {
			FamilyInfo struct{ Workers int }
		} `json:"settings"`
	}
	text, err := os.ReadFile(os.Getenv("NODE_CONFIG"))
	if err == nil {
		err = json.Unmarshal(text, &config)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "relay:", err)
		return 2
	}
	r := &relay{endpoints: map[int][]string{}, idle: map[string][]*relayConn{}, slots: make(chan struct{}, max(1, config.Settings.FamilyInfo.Workers))}
	for _, e := range config.Known.Endpoints {
		r.endpoints[e.Group] = append(r.endpoints[e.Group], e.Address)
	}
	ln, err := net.Listen("tcp", config.Listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, "relay:", err)
		return 2
	}
	slog.New(slog.NewTextHandler(os.Stderr, nil)).Info("serving", "name", "relay", "address", ln.Addr())
	for {
		conn, err := ln.Accept()
		if err != nil {
			return 2
		}
		go r.client(conn)
	}
}

type relay struct {
	endpoints map[int][]string
	slots     chan struct{}
	mu        sync.Mutex
	idle      map[string][]*relayConn
}

type relayConn struct {
	net.Conn
	r *bufio.Reader
}

func (r *relay) client(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		args := make([]string, 5)
		if _, err := in.ReadSlice('\n'); err != nil { // *5
			return
		}
		for i := range args {
			line, err := in.ReadSlice('\n')
			if err != nil || len(line) < 4 {
				return
			}
			n, err := strconv.Atoi(string(line[1 : len(line)-2]))
			if err != nil || n < 0 || n > 64<<10 {
				return
			}
			arg := make([]byte, n+2)
			if _, err := io.ReadFull(in, arg); err != nil {
				return
			}
			args[i] = string(arg[:n])
		}
		if _, err := io.WriteString(conn, "+OK\r\n"); err != nil {
			return
		}
		dest := -1
		for _, pair := range strings.Split(args[3], ",") {
			if v, ok := strings.CutPrefix(pair, "dest="); ok {
				dest, _ = strconv.Atoi(v)
			}
		}
		if list := r.endpoints[dest]; len(list) > 0 {
			r.slots <- struct{}{}
			go r.call(list[len(args[2])%len(list)], args[2], args[4])
		}
	}
}

func (r *relay) call(address, id, body string) {
	defer func() { <-r.slots }()
	r.mu.Lock()
	var c *relayConn
	if list := r.idle[address]; len(list) > 0 {
		c, r.idle[address] = list[len(list)-1], list[:len(list)-1]
	}
	r.mu.Unlock()
	if c == nil {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		c = &relayConn{conn, bufio.NewReader(conn)}
	}
	buf := fmt.Appendf(nil, "POST /events HTTP/1.1\r\nHost: %s\r\nReq-Id: %s\r\nReq-Deadline: 1.000\r\nContent-Length: %d\r\n\r\n%s",
		address, id, len(body), body)
	if _, err := c.Write(buf); err != nil {
		c.Close()
		return
	}
	for {
		line, err := c.r.ReadSlice('\n')
		if err != nil {
			c.Close()
			return
		}
		if len(line) <= 2 {
			break
		}
	}
	r.mu.Lock()
	r.idle[address] = append(r.idle[address], c)
	r.mu.Unlock()
}

// relayPath is the program that has the relay, if it is not this one.
var relayPath string
