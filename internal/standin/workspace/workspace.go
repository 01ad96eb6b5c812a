// Package workspace describes the workspaces that a simulated store publishes, with their keys.
package workspace

// Workspace is a workspace of a configuration.
type Workspace struct {
	Name string
	Keys []string
	// Rate and Burst are the quota in requests per second and requests. A rate of 0 means no limit.
	Rate, Burst float64
}
