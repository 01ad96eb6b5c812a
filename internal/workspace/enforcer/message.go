package enforcer

// Method is the name of the call between instances.
const Method = "quota"

// Request asks for permissions to run requests of a workspace. Without a workspace, it only makes the asking instance known.
type Request struct {
	Name      string `msgpack:"n"`
	Address   string `msgpack:"a"`
	Workspace string `msgpack:"w,omitempty"`
	Want      int    `msgpack:"c,omitempty"`
}

// Reply holds the loan.
type Reply struct {
	Granted int `msgpack:"g,omitempty"`
	// LifeUS is the time in microseconds for which the loan can be used, counted from the sending of the request.
	LifeUS int64 `msgpack:"l,omitempty"`
	// WaitUS is the time in microseconds after which the lender expects to have a permission, if it granted none.
	WaitUS int64 `msgpack:"u,omitempty"`
	// IsLender reports whether the instance lends to the workspace.
	IsLender bool `msgpack:"y,omitempty"`
	// Known is the number of instances that it knows.
	Known int `msgpack:"k"`
}
