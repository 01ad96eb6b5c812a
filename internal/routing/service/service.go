// Package service describes what the upstreams of one service bear.
package service

// Service is a group of upstreams that answer alike. It is immutable.
type Service struct {
	Name string
	// MaxConnections is the highest number of connections to one upstream, over all instances.
	MaxConnections int
	// ColdRate is the number of requests a second that a cold upstream bears; 0 where none is stated.
	ColdRate float64
}
