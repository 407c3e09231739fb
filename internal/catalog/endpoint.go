package catalog

// EndpointID identifies one incarnation of an endpoint.
type EndpointID string

// Endpoint is a registered endpoint.
type Endpoint struct {
	ID            EndpointID
	Service       string
	Address       string // Host and port.
	FailureDomain string
	Slots         int   // Number of requests that run at the same time.
	Draining      bool  // Accepts no new requests.
	Incarnation   int64 // Start of this incarnation, in Unix milliseconds.
}

// AdapterKey identifies an adapter of a base model.
type AdapterKey struct {
	Model   string
	Adapter string
}

// AdapterVersion is an announced version of an adapter.
type AdapterVersion struct {
	AdapterKey
	Version int64
}
