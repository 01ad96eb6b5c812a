// Package service describes the capacity limits of the upstreams of one service.
package service

// Service is a group of interchangeable upstreams. It is immutable.
type Service struct {
	Name string
	// MaxConnections is the maximum number of connections to one upstream from all instances together.
	MaxConnections int
	// ColdRate is the number of requests per second that a cold upstream can handle; 0 means unspecified.
	ColdRate float64
}
